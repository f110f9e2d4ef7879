//! Starts `quetzalpick-load`.

fn main() {}
