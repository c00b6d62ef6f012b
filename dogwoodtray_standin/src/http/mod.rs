//! HTTP/1.1 server shared by the stand-ins.

mod call;
mod reply;
mod server;

pub(crate) use self::call::Call;
pub(crate) use self::reply::ConnectionDropped;
pub(crate) use self::reply::Failure;
pub(crate) use self::reply::Reply;
pub(crate) use self::reply::ReplyStream;
pub(crate) use self::reply::bad_request;
pub(crate) use self::reply::empty;
pub(crate) use self::reply::error;
pub(crate) use self::reply::json;
pub(crate) use self::reply::raw;
pub(crate) use self::reply::route_not_found;
pub(crate) use self::reply::streamed;
pub(crate) use self::server::Control;
pub(crate) use self::server::Handler;
pub(crate) use self::server::Server;
