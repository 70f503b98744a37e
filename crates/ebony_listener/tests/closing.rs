//! Tests that a closing port serves the connections that have arrived.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use actix_web::{App, HttpResponse, web};
use ebony_listener::{BoundPort, HttpOptions, PortClosing, ServingPort, plain_service};

/// Long enough for a heavily loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

async fn open_port(max_connections: usize) -> (SocketAddr, ServingPort) {
    let port = BoundPort::bind("127.0.0.1:0".parse().expect("an address")).expect("a port is free");
    let address = port.address().expect("the port is bound");
    let (closing, is_closing) = PortClosing::open();
    let options = HttpOptions {
        idle_time: TIMEOUT,
        head_timeout: TIMEOUT,
        on_connect: |_| {},
    };
    let app = App::new().default_service(web::to(|| async { HttpResponse::Ok().body("answered") }));
    let service = plain_service(app, options, is_closing.clone())
        .await
        .expect("the service starts");
    let port = ServingPort::spawn(port, service, (closing, is_closing), max_connections, |_| {});
    (address, port)
}

/// Opens connections and sends a request on each before the port can accept any of them.
fn send_requests(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = TcpStream::connect(address).expect("the port takes connections");
        stream.write_all(REQUEST).expect("the connection is open");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("the socket is open");
        stream
    };
    (0..count).map(connect).collect()
}

/// Returns the number of connections that got a complete answer.
fn count_answers(streams: Vec<TcpStream>) -> usize {
    let answers = streams.into_iter().filter_map(|mut stream| {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.ends_with("answered").then_some(())
    });
    answers.count()
}

#[test]
fn connections_that_wait_to_be_accepted_are_answered() {
    actix_rt::System::new().block_on(async {
        let (address, port) = open_port(1_000).await;
        let streams = send_requests(address, 200);
        port.close(TIMEOUT).await;
        assert_eq!(count_answers(streams), 200);
        assert!(TcpStream::connect(address).is_err(), "the port is closed");
    });
}

#[test]
fn idle_connections_end_with_the_port() {
    actix_rt::System::new().block_on(async {
        let (address, port) = open_port(1_000).await;
        let mut idle = TcpStream::connect(address).expect("the port takes connections");
        idle.set_read_timeout(Some(TIMEOUT)).expect("the socket is open");
        // An answered request shows that the connection was accepted.
        idle.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .expect("the connection is open");
        let reading = tokio::task::spawn_blocking(move || {
            let mut answer = Vec::new();
            idle.read_to_end(&mut answer).map(|_| answer)
        });
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        port.close(TIMEOUT).await;
        let answer = reading
            .await
            .expect("the reader runs")
            .expect("the connection ends");
        assert!(answer.ends_with(b"answered"));
    });
}

#[test]
fn connections_beyond_the_limit_are_closed() {
    actix_rt::System::new().block_on(async {
        let (address, port) = open_port(3).await;
        let streams = send_requests(address, 20);
        port.close(TIMEOUT).await;
        let answered = count_answers(streams);
        assert!((3..20).contains(&answered), "{answered}");
    });
}

/// Examples and tests drop the handle and rely on the port to continue serving.
#[test]
fn a_port_keeps_serving_after_its_handle_is_dropped() {
    actix_rt::System::new().block_on(async {
        let (address, port) = open_port(1_000).await;
        drop(port);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let streams = send_requests(address, 3);
        let counting = tokio::task::spawn_blocking(move || count_answers(streams));
        assert_eq!(counting.await.expect("the reader runs"), 3);
    });
}
