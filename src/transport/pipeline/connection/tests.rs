//! What a connection does with its calls, without a stream.

use super::*;

fn all(text: &str) -> Result<Vec<(u16, String, bool)>, Unreadable> {
    let (mut buffer, mut answers) = (BytesMut::from(text), Vec::new());
    while let Some((answer, closes)) = parse(&mut buffer)? {
        answers.push((answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned(), closes));
    }
    Ok(answers)
}

fn connection(pipe: Pipe<u64>, queued: &[(u64, &'static [u8])]) -> Connection {
    let queue = queued.iter().map(|(t, b)| (*t, Bytes::from_static(b))).collect();
    let connection = Connection::new(4, Allowance::default(), Box::new(|| {}));
    Connection { pipe: RefCell::new(pipe), queue: RefCell::new(queue), ..connection }
}

/// Guards a drain against a partner that answers what was not sent: what was answered is off the line, what waits
/// is taken back, and nothing of either is written.
#[test]
fn a_call_answered_before_it_was_written_is_no_hindrance_to_a_drain() {
    let mut pipe = Pipe::new(4);
    pipe.push(1, 2, true);
    pipe.push(2, 3, true);
    assert_eq!(pipe.answered(false), Some((1, true)));
    let connection = connection(pipe, &[(1, b"ab"), (2, b"cde")]);
    connection.withdraw();
    assert!(connection.queue.borrow().is_empty());
    assert_eq!(connection.out(), 0);
}

/// Guards memory: each answer of a connection is remembered, so it carries no more than can be.
#[test]
fn a_connection_takes_no_more_calls_than_answers_can_be_remembered() {
    let connection = connection(Pipe::new(4), &[]);
    while connection.exchanges.borrow().may_carry_more() {
        assert!(connection.may_take(true));
        connection.exchanges.borrow_mut().requested();
    }
    assert!(connection.exchanges.borrow().requests() > 100);
    assert!(!connection.may_take(true) && !connection.is_open());
}

/// Guards answers behind one another: each ends where it says, in lengths or chunks, and what leaves its end open
/// is no answer at all.
#[test]
fn answers_behind_one_another_end_where_they_say() {
    let text = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi\
        HTTP/1.1 204 X\r\n\r\nHTTP/1.1 429 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: 1\r\n\r\n\
        HTTP/1.1 500 X\r\nconnection: keep-alive, Close\r\ncontent-length: 0\r\n\r\n";
    let wanted = [(200, "hi", false), (204, "", false), (429, "abc", false), (500, "", true)];
    assert_eq!(all(text), Ok(wanted.map(|(s, b, c)| (s, b.to_string(), c)).to_vec()));
    // Cut off anywhere, what is whole is read and the rest waited for.
    for cut in 0..text.len() {
        let mut buffer = BytesMut::from(&text[..cut]);
        let mut whole = 0;
        while let Some((answer, _)) = parse(&mut buffer).expect("a part of an answer is no error") {
            assert_eq!(answer.body, wanted[whole].1);
            whole += 1;
        }
    }
    for bad in [
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nopen end",
        "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
    ] {
        assert_eq!(all(bad), Err(Unreadable), "{bad:?}");
    }
    assert_eq!(all("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal"), Ok(vec![]));
}
