//! Mutual TLS on links, with certificates and keys from PEM files.
//!
//! Both ends present a certificate, and verify the peer's against the same certificate authority. The dialing end also
//! verifies that the certificate is valid for the IP address that it dials, so certificates must contain IP addresses.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::crypto::CryptoProvider;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};

/// The reason why a TLS configuration could not be built.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum TlsError {
    /// A file can't be read, or contains no PEM item of the expected kind.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the PEM parser.
        source: pem::Error,
    },
    /// The certificates of the authority can't be used.
    #[error("the authority is not usable: {0}")]
    Authority(#[from] VerifierBuilderError),
    /// The certificates or the key can't be used.
    #[error(transparent)]
    Certificate(#[from] rustls::Error),
}

/// The result of building a TLS configuration.
pub type Result<T, E = TlsError> = std::result::Result<T, E>;

/// Builds the TLS configuration of the dialing end.
///
/// # Errors
///
/// Returns [`TlsError`] if a file can't be read or its content can't be used.
pub fn client_config(certificate: &Path, key: &Path, authority: &Path) -> Result<Arc<ClientConfig>> {
    let builder = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_root_certificates(read_roots(authority)?);
    let config = builder.with_client_auth_cert(read_certificates(certificate)?, read_key(key)?)?;
    Ok(Arc::new(config))
}

/// Builds the TLS configuration of the listening end, which rejects peers without a certificate of the authority.
///
/// # Errors
///
/// Returns [`TlsError`] if a file can't be read or its content can't be used.
pub fn server_config(certificate: &Path, key: &Path, authority: &Path) -> Result<Arc<ServerConfig>> {
    let roots = Arc::new(read_roots(authority)?);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build()?;
    let builder = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier);
    let config = builder.with_single_cert(read_certificates(certificate)?, read_key(key)?)?;
    Ok(Arc::new(config))
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(default_provider())
}

fn file_error(path: &Path) -> impl Fn(pem::Error) -> TlsError {
    move |source| TlsError::File {
        path: path.to_owned(),
        source,
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_file_iter(path)
        .map_err(file_error(path))?
        .collect::<Result<_, _>>()
        .map_err(file_error(path))
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_file(path).map_err(file_error(path))
}

fn read_roots(path: &Path) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}
