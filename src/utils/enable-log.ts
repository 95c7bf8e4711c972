/** Turns roarr on: it makes silent loggers unless this variable is set before it is loaded. */
process.env['ROARR_LOG'] = 'true'
