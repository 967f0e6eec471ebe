//! Long responses that a server writes at a pace, in each framing.

use std::net::TcpStream;
use std::time::Duration;

use super::{bytes, Message};

/// Length of a long response.
pub const LONG_RESPONSE_BYTES: usize = 200_000;

/// How a response marks its end.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    Length,
    Chunks,
    Close,
}

pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

impl Framing {
    /// The framing that a request's path names.
    pub fn named_by(message: &Message) -> Option<Self> {
        FRAMINGS.into_iter().find(|framing| message.path().contains(&format!("{framing:?}")))
    }

    /// A client's request with this framing named in its path.
    pub fn name_in(self, request: &str) -> String {
        request.replace("/7?", &format!("/{self:?}?"))
    }

    fn head(self, length: usize) -> String {
        let framing = match self {
            Self::Length => format!("Content-Length: {length}"),
            Self::Chunks => "Transfer-Encoding: chunked".to_string(),
            Self::Close => "Connection: close".to_string(),
        };
        format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n")
    }

    /// Writes a piece of the body.
    pub fn write(self, mut out: impl std::io::Write, piece: &[u8]) -> std::io::Result<()> {
        match self {
            Self::Chunks => {
                out.write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())
            }
            Self::Length | Self::Close => out.write_all(piece),
        }
    }

    /// Ends the response; an error makes the server close its connection.
    fn end(self, mut out: impl std::io::Write) -> std::io::Result<()> {
        match self {
            Self::Length => Ok(()),
            Self::Chunks => out.write_all(b"0\r\n\r\n"),
            Self::Close => Err(std::io::ErrorKind::Other.into()),
        }
    }
}

/// When a server writes the parts of a long response.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The time from the head to the first bytes of the body.
    pub before_body: Duration,
    pub piece_bytes: usize,
    pub between_pieces: Duration,
}

impl Pace {
    /// Writes a long response; an error makes the server close its connection.
    pub fn respond(self, framing: Framing, out: &mut TcpStream) -> std::io::Result<()> {
        use std::io::Write;
        out.write_all(framing.head(LONG_RESPONSE_BYTES).as_bytes())?;
        std::thread::sleep(self.before_body);
        for piece in bytes(LONG_RESPONSE_BYTES).chunks(self.piece_bytes) {
            framing.write(&mut *out, piece)?;
            std::thread::sleep(self.between_pieces);
        }
        framing.end(out)
    }
}
