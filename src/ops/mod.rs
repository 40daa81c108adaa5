//! The operations of the command-line tool, as free functions with one options struct each.
