//! Shorthands that wrap each message into a frame.

use crate::messages;
use crate::messages::Frame;
use crate::messages::frame::Kind;

macro_rules! wrap {
    ($($message:ident),* $(,)?) => {
        $(
            impl From<messages::$message> for Frame {
                fn from(message: messages::$message) -> Self {
                    Self { kind: Some(Kind::$message(message)) }
                }
            }
        )*
    };
}

wrap!(
    Ack,
    Cancel,
    Chunk,
    ConfigFetch,
    ConfigSet,
    Credit,
    Dispatch,
    Done,
    Heartbeat,
    Hello,
    JobCancelled,
    Probe,
    ProbeReply,
    Reattach,
    Started,
);
