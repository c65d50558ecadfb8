//! TLS certificates derived from the deployment's peer secret.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rcgen::{CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::RootCertStore;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::Error;

/// Subject name in the certificate of every node.
pub(crate) const SERVER_NAME: &str = "node.bilberrylatch";

/// Application protocol that both peers must offer (ALPN).
const ALPN_PROTOCOL: &[u8] = b"bilberrylatch/1";

/// Prefix of a PKCS #8 document that contains a 32-byte Ed25519 seed (RFC 8410).
const ED25519_PKCS8_PREFIX: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Time without a packet after which a connection is considered lost, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 10_000;

/// Maximum number of streams that a peer may have open, for unidirectional and bidirectional streams each.
const STREAM_LIMIT: u32 = 1024;

/// The certificate authority of a deployment and this process's certificate, signed by that authority.
#[derive(Debug)]
pub struct Identity {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: Vec<u8>,
}

impl Identity {
    /// Derives the authority's key from `secret` and generates a key pair for this process.
    pub fn new(secret: &str) -> Result<Self, Error> {
        let setup_error = |error: rcgen::Error| Error::Setup(error.to_string());
        let seed = blake3::derive_key("bilberrylatch 2026 peer certificate authority", secret.as_bytes());
        let pkcs8 = [ED25519_PKCS8_PREFIX.as_slice(), seed.as_slice()].concat();
        let authority_key =
            KeyPair::from_pkcs8_der_and_sign_algo(&PrivatePkcs8KeyDer::from(pkcs8), &rcgen::PKCS_ED25519)
                .map_err(setup_error)?;
        let mut authority_params = CertificateParams::new(Vec::new()).map_err(setup_error)?;
        authority_params.is_ca = IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
        let issuer = CertifiedIssuer::self_signed(authority_params, authority_key).map_err(setup_error)?;
        let key = KeyPair::generate().map_err(setup_error)?;
        let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).map_err(setup_error)?;
        let certificate = params.signed_by(&key, &issuer).map_err(setup_error)?;
        Ok(Self {
            authority: issuer.der().clone(),
            certificate: certificate.der().clone(),
            key: key.serialize_der(),
        })
    }

    /// Returns the server configuration, which rejects peers without a certificate signed by the authority.
    pub(crate) fn server_config(&self) -> Result<ServerConfig, Error> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.root_store()?), crypto_provider())
                .build()
                .map_err(|error| Error::Setup(error.to_string()))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .and_then(|builder| {
                builder
                    .with_client_cert_verifier(verifier)
                    .with_single_cert(vec![self.certificate.clone()], self.private_key())
            })
            .map_err(|error| Error::Setup(error.to_string()))?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(transport_config());
        Ok(config)
    }

    /// Returns the client configuration.
    pub(crate) fn client_config(&self) -> Result<ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| Error::Setup(error.to_string()))?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.private_key())
            .map_err(|error| Error::Setup(error.to_string()))?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|error| Error::Setup(error.to_string()))?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(transport_config());
        Ok(config)
    }

    fn root_store(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots
            .add(self.authority.clone())
            .map_err(|error| Error::Setup(error.to_string()))?;
        Ok(roots)
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(self.key.clone()))
    }
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport_config() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.max_concurrent_uni_streams(VarInt::from_u32(STREAM_LIMIT));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT));
    Arc::new(transport)
}
