use std::collections::BTreeSet;

/// A link in one direction: its sender and its receiver.
pub type Link<P> = (P, P);

/// Which links between the parties are cut, each in one direction. A cut link loses what is sent over it and what is in
/// flight on it.
#[derive(Clone, Debug)]
pub struct Links<P> {
    cut: BTreeSet<Link<P>>,
}

impl<P> Default for Links<P> {
    fn default() -> Links<P> {
        Links { cut: BTreeSet::new() }
    }
}

impl<P: Copy + Ord> Links<P> {
    /// Cuts links.
    pub fn cut(&mut self, links: impl IntoIterator<Item = Link<P>>) {
        self.cut.extend(links);
    }

    /// Cuts all links from one group to another; a party that is in both keeps the link to itself.
    pub fn cut_one_way(&mut self, from: &[P], to: &[P]) {
        let pairs = from.iter().flat_map(|sender| to.iter().map(|receiver| (*sender, *receiver)));
        self.cut.extend(pairs.filter(|(sender, receiver)| sender != receiver));
    }

    /// Cuts all links between two groups, in both directions.
    pub fn partition(&mut self, one: &[P], other: &[P]) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// All links work again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Whether the link from one party to another is cut.
    pub fn is_cut(&self, from: P, to: P) -> bool {
        self.cut.contains(&(from, to))
    }

    /// How many links are cut.
    pub fn cut_count(&self) -> usize {
        self.cut.len()
    }
}
