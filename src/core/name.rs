use std::sync::Arc;

/// A shared, immutable string, which is cheap to clone.
///
/// It holds the name of a VM, data centre, service, endpoint or trainer, and in
/// batches also paths, headers and texts.
pub type Name = Arc<str>;
