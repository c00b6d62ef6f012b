//! Serves online requests and batch jobs of model inference on one fleet.
