//! The receiver's memory of transfers.
