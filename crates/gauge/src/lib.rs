//! The board: the last figure of each server and own sends since, and the lower of two random ones.
