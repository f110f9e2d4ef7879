//! An HTTP/1.1 server with one thread a connection, which can be ended like a process that crashes.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Pause between two checks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Fragments that follow one after the other in place of the body.
    pub stream: Option<Box<dyn Iterator<Item = Vec<u8>> + Send>>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            stream: None,
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// `Handler` answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// `Server` serves until it is ended.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            ended: Arc::default(),
            connections: Arc::default(),
        };
        let own = server.clone();
        thread::spawn(move || own.accept(&listener, &handler));
        server
    }

    fn accept(&self, listener: &TcpListener, handler: &Handler) {
        while !self.ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
            let (handler, ended) = (Arc::clone(handler), Arc::clone(&self.ended));
            thread::spawn(move || {
                let _ = serve(&stream, &handler, &ended);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    /// Ends the server at once: it closes its port and all connections, as when its process ends.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &Handler, ended: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        if ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        write_response(stream, response)?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let _method = words.next();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// Reads headers up to the empty line; their names become lower case.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn write_response(mut stream: &TcpStream, response: Response) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} X\r\n", response.status);
    for (name, value) in &response.headers {
        head += &format!("{name}: {value}\r\n");
    }
    let Some(fragments) = response.stream else {
        head += &format!("Content-Length: {}\r\n\r\n", response.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend(&response.body);
        return stream.write_all(&bytes);
    };
    head += "Transfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    for fragment in fragments {
        let mut chunk = format!("{:x}\r\n", fragment.len()).into_bytes();
        chunk.extend(fragment);
        chunk.extend(b"\r\n");
        stream.write_all(&chunk)?;
    }
    stream.write_all(b"0\r\n\r\n")
}
