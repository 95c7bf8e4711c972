/** Fingerprints that were running when an upstream crashed. */
import type { SuspectCount } from '../types/messages.js'

const suspectRetentionMilliseconds = 3_600_000
const maximumSuspects = 200

/** Counts after a crash while `running` fingerprints ran; `now` in epoch milliseconds. */
export function countCrash (suspects: readonly SuspectCount[], running: readonly string[], now: number): readonly SuspectCount[] {
  const until = now + suspectRetentionMilliseconds
  const crashed = new Set(running.filter(fingerprint => fingerprint !== ''))
  const counted = [...crashed].map(fingerprint => ({ fingerprint, crashes: crashesOf(suspects, fingerprint) + 1, until }))
  const others = currentSuspects(suspects, now).filter(({ fingerprint }) => !crashed.has(fingerprint))
  return [...others, ...counted].slice(-maximumSuspects)
}

/** Counts that still matter at `now`, epoch milliseconds. */
export function currentSuspects (suspects: readonly SuspectCount[], now: number): readonly SuspectCount[] {
  return suspects.filter(({ until }) => until > now)
}

function crashesOf (suspects: readonly SuspectCount[], fingerprint: string): number {
  return suspects.find(suspect => suspect.fingerprint === fingerprint)?.crashes ?? 0
}
