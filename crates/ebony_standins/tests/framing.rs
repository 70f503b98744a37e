//! Tests that the adapters detect incomplete answers, with servers that write raw bytes.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::{Bytes, BytesMut};
use ebony_platform::{HttpService, PlatformError, RequestLimits, ServiceCall, ServiceTarget};
use ebony_types::RunVerdict;
use futures_util::StreamExt;
use rustls::pki_types::PrivateKeyDer;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio_rustls::TlsAcceptor;

/// Maximum number of bytes per read of a request.
const READ_BYTES: usize = 4_096;

fn get() -> ServiceCall {
    ServiceCall {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

async fn answer(mut stream: impl AsyncRead + AsyncWrite + Unpin, bytes: &[u8]) -> Result<()> {
    let mut request = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        let length = stream.read(&mut buffer).await?;
        request.extend_from_slice(&buffer[..length]);
    }
    stream.write_all(bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Returns the body that an adapter gets from a server that writes `bytes` and closes the connection.
async fn body_of(bytes: &'static str) -> Result<Bytes, PlatformError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(refused)?;
    let address = listener.local_addr().map_err(refused)?;
    let server = actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await?;
        answer(stream, bytes.as_bytes()).await
    });
    let service = HttpService::open(&format!("http://{address}"), RequestLimits::for_targets())?;
    let result = read(&service).await;
    server.abort();
    result
}

fn refused(error: impl ToString) -> PlatformError {
    PlatformError::Refused(error.to_string())
}

async fn read(service: &HttpService) -> Result<Bytes, PlatformError> {
    let mut answer = service.send(get()).await?;
    let mut body = BytesMut::new();
    while let Some(part) = answer.body.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.freeze())
}

/// Guards against a broken connection that is mistaken for the end of an answer; `awc` by itself does not report it.
#[actix_rt::test]
async fn bodies_that_end_early_are_errors() {
    let broken = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "",
    ];
    for bytes in broken {
        let result = body_of(bytes).await;
        let verdict = result.as_ref().map_err(PlatformError::verdict);
        assert_eq!(verdict, Err(RunVerdict::MayHaveRun), "{bytes:?} gave {result:?}");
    }
}

/// Guards against complete answers that are reported as broken because the server closes the connection immediately
/// afterwards.
#[actix_rt::test]
async fn complete_bodies_are_accepted_when_the_connection_closes() {
    let complete = [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    ];
    for bytes in complete {
        assert_eq!(
            body_of(bytes).await,
            Ok(Bytes::from_static(b"hello")),
            "{bytes:?}"
        );
    }
    assert_eq!(body_of("HTTP/1.1 204 No Content\r\n\r\n").await, Ok(Bytes::new()));
}

/// Guards against requests to a port without a listener that are reported as possibly run, and against malformed
/// requests that are sent.
#[actix_rt::test]
async fn requests_that_cannot_be_sent_have_not_run() -> Result<()> {
    // A bound socket that does not listen reserves the port, so that no other process listens on it.
    let socket = TcpSocket::new_v4()?;
    socket.bind("127.0.0.1:0".parse()?)?;
    let url = format!("http://{}", socket.local_addr()?);
    let service = HttpService::open(&url, RequestLimits::for_targets())?;
    let mut calls = vec![get(), get(), get()];
    calls[1].method = "not a method".to_owned();
    calls[2].path = "no-slash".to_owned();
    for call in calls {
        let result = service.send(call).await.map(|answer| answer.status);
        assert!(matches!(result, Err(PlatformError::Refused(_))), "{result:?}");
    }
    for url in ["https://127.0.0.1:1", "ftp://127.0.0.1", "127.0.0.1:1", "http://"] {
        assert!(
            HttpService::open(url, RequestLimits::for_targets()).is_err(),
            "{url}"
        );
    }
    Ok(())
}

/// Guards against a reader that waits for ever when the server stops sending in the middle of an answer.
#[actix_rt::test]
async fn a_stalled_answer_times_out() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let limits = RequestLimits::for_targets().with_answer_timeout(Duration::from_millis(50));
    let service = HttpService::open(&format!("http://{}", listener.local_addr()?), limits)?;
    let server = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello")
            .await?;
        std::future::pending::<Result<()>>().await
    });
    let result = read(&service).await;
    assert!(matches!(result, Err(PlatformError::Unknown(_))), "{result:?}");
    server.abort();
    Ok(())
}

/// Guards against TLS that is not used or whose certificate is not checked, and against a TLS connection whose end
/// hides an incomplete body.
#[actix_rt::test]
async fn tls_certificates_are_checked_and_incomplete_bodies_are_errors() -> Result<()> {
    let key = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()])?;
    let certificate = key.cert.der().clone();
    let private = PrivateKeyDer::Pkcs8(key.signing_key.serialize_der().into());
    let server = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], private)?;
    let acceptor = TlsAcceptor::from(Arc::new(server));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("https://{}", listener.local_addr()?);
    let serving = actix_rt::spawn(async move {
        for bytes in [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
            "",
        ] {
            let (stream, _) = listener.accept().await?;
            if let Ok(stream) = acceptor.accept(stream).await {
                answer(stream, bytes.as_bytes()).await?;
            }
        }
        Result::<()>::Ok(())
    });
    let mut roots = RootCertStore::empty();
    roots.add(certificate)?;
    let config = |roots| {
        Arc::new(
            ClientConfig::builder()
                .with_root_certificates(roots)
                .with_no_client_auth(),
        )
    };
    let limits = RequestLimits::for_targets();
    let service = HttpService::open_tls(&url, limits, Some(config(roots)))?;
    assert_eq!(read(&service).await, Ok(Bytes::from_static(b"hello")));
    let broken = read(&service).await;
    assert!(matches!(broken, Err(PlatformError::Unknown(_))), "{broken:?}");
    let without_roots = HttpService::open_tls(&url, limits, Some(config(RootCertStore::empty())))?;
    let untrusted = read(&without_roots).await;
    assert!(
        matches!(untrusted, Err(PlatformError::Refused(_))),
        "{untrusted:?}"
    );
    serving.abort();
    Ok(())
}
