//! Scheduling decisions: queueing, placement, prefix cache model, admission, retention and model loading.
