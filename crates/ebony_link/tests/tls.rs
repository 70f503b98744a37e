//! Guards against links from peers without a certificate of the authority.

use std::net::SocketAddr;
use std::path::PathBuf;

use ebony_link::{LinkIdentity, LinkListener, LinkOptions, dial, tls};
use ebony_types::ProcessIncarnation;
use ebony_wire::{ClusterKey, EntryFrame, LinkRole, SideFrame};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use tempfile::TempDir;

/// PEM files of a certificate authority and of one certificate that it signed.
struct PemFiles {
    certificate: PathBuf,
    key: PathBuf,
    authority: PathBuf,
}

fn write_files(folder: &TempDir, name: &str) -> PemFiles {
    let authority_key = KeyPair::generate().expect("valid test material");
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = params.self_signed(&authority_key).expect("valid test material");
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate().expect("valid test material");
    let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("valid test material");
    let certificate = params.signed_by(&key, &issuer).expect("valid test material");
    let write = |kind: &str, text: String| {
        let path = folder.path().join(format!("{name}-{kind}.pem"));
        std::fs::write(&path, text).expect("valid test material");
        path
    };
    PemFiles {
        certificate: write("certificate", certificate.pem()),
        key: write("key", key.serialize_pem()),
        authority: write("authority", authority.pem()),
    }
}

fn identity(process: &str) -> LinkIdentity {
    LinkIdentity {
        key: ClusterKey::from_bytes(b"0123456789abcdef").expect("valid test material"),
        process: process.to_owned(),
        role: LinkRole::Entry,
        incarnation: ProcessIncarnation::from_bytes([7; 16]),
    }
}

fn client_options(files: &PemFiles, authority: &PemFiles) -> LinkOptions {
    let config = tls::client_config(&files.certificate, &files.key, &authority.authority);
    LinkOptions {
        client_tls: Some(config.expect("valid test material")),
        ..LinkOptions::default()
    }
}

/// Guards against broken mutual TLS, and against listeners that accept peers with a certificate of another authority or
/// without TLS.
#[actix_rt::test]
async fn both_ends_need_a_certificate_of_the_authority() {
    let folder = TempDir::new().unwrap();
    let files = write_files(&folder, "own");
    let other = write_files(&folder, "other");
    let server = tls::server_config(&files.certificate, &files.key, &files.authority).unwrap();
    let options = LinkOptions {
        server_tls: Some(server),
        ..LinkOptions::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = LinkListener::bind(address, identity("side"), options)
        .await
        .unwrap();
    let address = listener.address();
    for refused in [
        client_options(&other, &files),
        client_options(&files, &other),
        LinkOptions::default(),
    ] {
        assert!(dial(address, &identity("entry"), &refused).await.is_err());
    }
    let link = dial(address, &identity("entry"), &client_options(&files, &files))
        .await
        .unwrap();
    let accepted = listener.next().await.unwrap();
    let (sender, _receiver) = link.split::<EntryFrame, SideFrame>();
    let (_side_sender, mut receiver) = accepted.split::<SideFrame, EntryFrame>();
    sender.send(&EntryFrame::Ping { nonce: 1 }).unwrap();
    assert_eq!(receiver.next().await.unwrap(), EntryFrame::Ping { nonce: 1 });
    assert!(tls::client_config(&files.key, &files.key, &files.authority).is_err());
}
