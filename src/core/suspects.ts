/** Suspects: fingerprints of requests that were running when an upstream crashed, with their number of crashes. */
import type { SuspectCount } from '../types/messages.js'

/** Time for which a count is retained after the last crash. */
const suspectRetentionMilliseconds = 3_600_000
/** Maximum number of suspects in a status; the latest are retained. */
const maximumSuspects = 200

/** Suspects after a crash while the requests with the fingerprints `running` ran; `now` in epoch milliseconds. */
export function countCrash (suspects: readonly SuspectCount[], running: readonly string[], now: number): readonly SuspectCount[] {
  const until = now + suspectRetentionMilliseconds
  const crashed = new Set(running.filter(fingerprint => fingerprint !== ''))
  const counted = [...crashed].map(fingerprint => ({ fingerprint, crashes: crashesOf(suspects, fingerprint) + 1, until }))
  const others = currentSuspects(suspects, now).filter(({ fingerprint }) => !crashed.has(fingerprint))
  return [...others, ...counted].slice(-maximumSuspects)
}

/** Suspects that have not expired at `now`, epoch milliseconds. */
export function currentSuspects (suspects: readonly SuspectCount[], now: number): readonly SuspectCount[] {
  return suspects.filter(({ until }) => until > now)
}

function crashesOf (suspects: readonly SuspectCount[], fingerprint: string): number {
  return suspects.find(suspect => suspect.fingerprint === fingerprint)?.crashes ?? 0
}
