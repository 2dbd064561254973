//! What goes over the wires: the outer protocols' JSON with this site's
//! words, and the inner frames between our own nodes.

pub mod cloud;
pub mod encoded;
pub mod peer;
pub mod store;
pub mod users;
pub mod workers;
