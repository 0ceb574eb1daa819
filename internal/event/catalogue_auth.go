package event

// Events of packages auth and tlsconf.
const (
	TokensReloaded       ID = 1400
	TokensUnusable       ID = 1401
	CertificatesReloaded ID = 1410
	CertificatesUnusable ID = 1411
)

var _ = define(
	Definition{TokensReloaded, Info, "tokens_reloaded", "The token file changed and was reloaded."},
	Definition{TokensUnusable, Error, "tokens_unusable", "The changed token file cannot be used; the previous tokens stay valid. Fix the file; lynxhilld check reports the error."},
	Definition{CertificatesReloaded, Info, "certificates_reloaded", "The certificate, key or CA of a listener changed and was reloaded."},
	Definition{CertificatesUnusable, Error, "certificates_unusable", "The changed certificate, key or CA of a listener cannot be used; the previous ones stay in use. Fix the files before the previous certificate expires."},
)
