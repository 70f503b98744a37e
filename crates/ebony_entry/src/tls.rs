//! TLS configuration from the settings.

use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use ebony_settings::CallerTls;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};

/// The result of reading certificates and keys.
pub(crate) type Result<T, E = anyhow::Error> = std::result::Result<T, E>;

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let context = || format!("cannot read the certificates in {}", path.display());
    CertificateDer::pem_file_iter(path)
        .with_context(context)?
        .collect::<Result<_, _>>()
        .with_context(context)
}

fn read_roots(path: &Path) -> Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}

/// Returns the TLS server configuration for callers. Client certificates are required if an authority is configured.
pub(crate) fn caller_tls(settings: &CallerTls) -> Result<ServerConfig> {
    let certificates = read_certificates(&settings.certificate)?;
    let context = || format!("cannot read the key in {}", settings.key.display());
    let key = PrivateKeyDer::from_pem_file(&settings.key).with_context(context)?;
    let builder = ServerConfig::builder();
    let builder = match &settings.authority {
        Some(path) => {
            let verifier = WebPkiClientVerifier::builder(Arc::new(read_roots(path)?)).build()?;
            builder.with_client_cert_verifier(verifier)
        }
        None => builder.with_no_client_auth(),
    };
    Ok(builder.with_single_cert(certificates, key)?)
}
