// Package quarantiner names requests, so that one that comes again under
// another id, and to another host, is known to be the same.
package quarantiner
