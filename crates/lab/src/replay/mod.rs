//! Replays traces through the daemon's own decision code and through a baseline policy, and measures both.
