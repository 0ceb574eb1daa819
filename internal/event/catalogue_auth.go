package event

// Events of packages auth and tlsconf.
const (
	TokensReloaded       ID = 1400
	TokensUnusable       ID = 1401
	CertificatesReloaded ID = 1410
	CertificatesUnusable ID = 1411
)

var _ = define(
	Definition{TokensReloaded, Info, "tokens_reloaded", "The token file changed and was read again."},
	Definition{TokensUnusable, Error, "tokens_unusable", "The changed token file cannot be used; the tokens stay as they were. Mend the file; lynxhilld check shows the fault."},
	Definition{CertificatesReloaded, Info, "certificates_reloaded", "Certificate, key or CA of a listener changed and were read again."},
	Definition{CertificatesUnusable, Error, "certificates_unusable", "Changed certificate, key or CA of a listener cannot be used; the old ones stay in use. Mend the files before the old certificate expires."},
)
