/** Positions in a log, by default one that tells no era. */
import type { LogPosition } from '../../src/core/log-position.js'

/** Position of an offset. */
export function at (offset: number, era = 0): LogPosition {
  return { era, offset }
}
