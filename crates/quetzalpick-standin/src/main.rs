//! Starts `quetzalpick-standin`.

fn main() {}
