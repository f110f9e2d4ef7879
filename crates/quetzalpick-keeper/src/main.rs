//! Starts `quetzalpick-keeper`.

fn main() {}
