//! Starts `quetzalpick-gate`.

fn main() {}
