//! The operator's command line.

fn main() {}
