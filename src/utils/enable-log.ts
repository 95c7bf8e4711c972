/** Enables roarr. Import this module before roarr, whose loggers discard everything unless this variable is set. */
process.env['ROARR_LOG'] = 'true'
