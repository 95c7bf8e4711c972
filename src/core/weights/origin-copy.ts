/** Time that the origin needs for one copy of a version. */

/** Assumed time of one copy from an origin whose link speed is not configured, milliseconds. */
const defaultCopyMilliseconds = 3000

/** Time of a copy of `bytes` on the origin's link, milliseconds; `bytesPerSecond` is 0 if it is not configured. */
export function originCopyMilliseconds (bytes: number, bytesPerSecond: number): number {
  return bytesPerSecond === 0 ? defaultCopyMilliseconds : bytes / bytesPerSecond * 1000
}
