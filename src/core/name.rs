use std::sync::Arc;

/// The name of a VM, data centre, service, endpoint or trainer.
///
/// Names are shared and never change, so that copying one is cheap.
pub type Name = Arc<str>;
