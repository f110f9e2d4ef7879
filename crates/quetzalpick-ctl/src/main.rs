//! Starts `quetzalpick-ctl`.

fn main() {}
