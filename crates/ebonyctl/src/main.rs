//! The operators' command of ebonyswitch.

fn main() {}
