//! How far an instance has come since its start, and what it still waits for.

use std::fmt;

/// So many of its last answers are looked at.
const LAST: u32 = 32;
/// It takes this many to tell.
const LEAST: u32 = 16;
/// This share of them has to have come in time.
const GOOD: f64 = 0.9;
/// Few ask: after so long the last ones tell,
const QUIET: f64 = 5.0;
/// so many of them; where nobody asks there is nothing to wait for.
const FEW: u32 = 3;
/// A directory that has been silent for so many times the time allowed between calls is not heard.
const SILENT: f64 = 4.0;

/// A state of the way back. The order is that of the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nobody has named a server that may be sent to: everything is refused, harmlessly.
    #[default]
    Cold,
    /// A list of hearsay names servers: it is served by, less what is known to have left.
    Listed,
    /// The directory has told its list in this life, and little else is known.
    Warming,
    /// Answers come in time.
    Full,
}

/// What an instance waits for that is not in full service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wants {
    /// A server that may be sent to.
    Servers,
    /// The directory's own word.
    Word,
    /// Answers, to tell by.
    Answers,
    /// Answers that come in time.
    Time,
    /// Nothing.
    Nothing,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Stage::Cold => "cold",
            Stage::Listed => "listed",
            Stage::Warming => "warming",
            Stage::Full => "full",
        })
    }
}

impl fmt::Display for Wants {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Wants::Servers => "no server may be sent to",
            Wants::Word => "discovery has not told its list in this life, or not for long",
            Wants::Answers => "too few answers to tell by",
            Wants::Time => "answers come late, or not at all",
            Wants::Nothing => "nothing",
        })
    }
}

/// The life of one instance, told of by its events. Instants are in seconds, on any clock that moves forward.
#[derive(Clone, Copy, Debug, Default)]
pub struct Life {
    servers: bool,
    /// When the directory last told something; none before, and after a standstill.
    word: Option<f64>,
    /// A call has failed since.
    failed: bool,
    /// The last answers, the latest in the lowest bit, and how many there are.
    answers: u32,
    count: u32,
    /// When the first word of this life came.
    since: Option<f64>,
    full: bool,
}

impl Life {
    /// Whether there is a server that may be sent to.
    pub fn servers(&mut self, some: bool) {
        self.servers = some;
    }

    /// The directory has told its list, or that nothing is new.
    pub fn told(&mut self, now: f64) {
        (self.word, self.failed) = (Some(now), false);
        self.since.get_or_insert(now);
    }

    /// A call to the directory has failed. One that is merely quiet has nothing to tell.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// The instance stood still: whatever the directory has told meanwhile it does not know.
    pub fn stood_still(&mut self) {
        (self.word, self.full) = (None, false);
        (self.answers, self.count, self.since) = (0, 0, None);
    }

    /// A job has its final answer, in time or not.
    pub fn answered(&mut self, in_time: bool) {
        self.answers = self.answers << 1 | u32::from(in_time);
        self.count = (self.count + 1).min(LAST);
    }

    /// Whether the directory's word is known. `within` is the time allowed between calls.
    pub fn knows(&self, now: f64, within: f64) -> bool {
        self.word.is_some_and(|word| !self.failed || now - word <= SILENT * within)
    }

    /// Where it is on its way, and what it waits for. Full service, once reached, ends with the word alone: a jam is no matter
    /// of a start.
    pub fn stage(&mut self, now: f64, within: f64) -> (Stage, Wants) {
        if !self.servers {
            return (Stage::Cold, Wants::Servers);
        }
        if !self.knows(now, within) {
            return (Stage::Listed, Wants::Word);
        }
        let good = f64::from(self.answers.count_ones());
        // Danger: one that few ask would never come to full service.
        let few = (1_u32 << self.count.min(FEW)) - 1;
        let quiet = self.since.is_some_and(|since| now - since >= QUIET) && self.answers & few == few;
        self.full |= quiet || (self.count >= LEAST && good >= GOOD * f64::from(self.count));
        match self.full {
            true => (Stage::Full, Wants::Nothing),
            false if self.count < LEAST => (Stage::Warming, Wants::Answers),
            false => (Stage::Warming, Wants::Time),
        }
    }
}
