//! Fake servers for the platform and for operator ports.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::Args;
use dogwoodtray_cli::Exit;
use dogwoodtray_cli::command;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::MemoryStore;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::model::StatusCode;
use serde_json::json;

/// Output of one run of the command line.
pub(crate) struct Output {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs the command line within the test process.
pub(crate) fn run(args: &[&str]) -> Output {
    let command = command::options().run_inner(Args::from(args)).unwrap();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = command::run(&command, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Output { exit, out: text(out), err: text(err) }
}

/// Returns the path of a directory in `examples/`.
pub(crate) fn example(name: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    dir.to_str().unwrap().to_owned()
}

/// Writes `objects.toml` into the directory of this name and returns the path of the directory.
pub(crate) fn write_objects(name: &str, text: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join("objects.toml"), text).unwrap();
    dir.to_str().unwrap().to_owned()
}

/// Address on which nothing listens, because its port is reserved.
pub(crate) const UNREACHABLE_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Attempts to bind a free port. Another process may bind a port between its selection and its use.
const MAX_BIND_ATTEMPTS: usize = 10;

/// Serves requests on a free port until the test process ends.
pub(crate) fn serve(
    handle: impl Fn(&Method, &str, &str) -> (StatusCode, String) + Send + Sync + 'static,
) -> SocketAddr {
    serve_requests(move |req| {
        let query = req.uri().query().unwrap_or("").to_owned();
        let (status, body) = handle(req.method(), req.uri().path(), &query);
        Response::builder().status(status).body(Body::from(body)).unwrap()
    })
}

fn serve_requests(
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> SocketAddr {
    let handle = Arc::new(handle);
    for _ in 0..MAX_BIND_ATTEMPTS {
        let addr = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
        let handle = Arc::clone(&handle);
        let server = Server::new(move |req| handle(req)).bind(addr);
        // The threads of the server continue to run after its handle is dropped.
        if server.spawn().is_ok() {
            return addr;
        }
    }
    panic!("no free port after {MAX_BIND_ATTEMPTS} tries");
}

/// Serves the object API from a store in memory.
pub(crate) fn serve_platform(store: MemoryStore) -> SocketAddr {
    serve_requests(move |req| {
        let op = parse_op(req);
        build_response(store.apply(&op))
    })
}

fn parse_op(req: &mut Request<Body>) -> StoreOp {
    let path = req.uri().path().trim_start_matches("/v1/objects/").to_owned();
    let Some((kind, name)) = path.split_once('/') else {
        let query = req.uri().query().unwrap();
        let param = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
        return StoreOp::List {
            kind: path.as_str().into(),
            prefix: param("prefix=").unwrap_or("").into(),
            after: param("after=").map(Arc::from),
            limit: 2,
        };
    };
    let key = ObjectKey::new(kind, name);
    if req.method() == Method::GET {
        return StoreOp::Get { key };
    }
    let version = req
        .headers()
        .get("if-match")
        .map(|value| Version(value.to_str().unwrap().trim_matches('"').parse().unwrap()));
    let expect = version.map_or(Precondition::Absent, Precondition::Version);
    let body = std::mem::take(req.body_mut()).to_vec().unwrap();
    StoreOp::Put { key, expect, value: Arc::from(body) }
}

fn build_response(reply: StoreReply) -> Response<Body> {
    let (status, version, body) = match reply {
        StoreReply::Found { version, value } => (200, Some(version), value.to_vec()),
        StoreReply::Written { version } => (200, Some(version), Vec::new()),
        StoreReply::Missing => (404, None, Vec::new()),
        StoreReply::Conflict => (409, None, Vec::new()),
        StoreReply::Listed { entries, more } => {
            let entry = |(name, version)| json!({ "name": name, "version": version });
            let entries: Vec<_> = entries.into_iter().map(entry).collect();
            (200, None, json!({ "entries": entries, "more": more }).to_string().into_bytes())
        }
        _ => (503, None, Vec::new()),
    };
    let builder = Response::builder().status(status);
    let builder = match version {
        Some(version) => builder.header("etag", format!("\"{}\"", version.0)),
        None => builder,
    };
    builder.body(Body::from(body)).unwrap()
}
