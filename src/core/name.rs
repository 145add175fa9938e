use std::sync::Arc;

/// The name of a VM, data centre, service, endpoint or trainer.
///
/// A name is shared and immutable, so cloning it is cheap.
pub type Name = Arc<str>;
