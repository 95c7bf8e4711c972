/** Judges what callers were told against what engines and plain services recorded. */
import type { RegisterLine } from '../stand-in/register.js'
import { digestBytes } from '../src/utils/digest.js'
import type { Sending } from './caller.js'
import { percentile } from './percentile.js'

/** How the calls ended, and how often a promise broke. */
export interface Verdict {
  readonly sent: number
  readonly whole: number
  readonly notRun: number
  readonly unknown: number
  /** Stated as run, with the answer no longer kept. */
  readonly run: number
  /** Neither an end nor a stated failure. */
  readonly cut: number
  readonly unreached: number
  /** Passed for a whole answer and was none. */
  readonly wrong: number
  /** Non-idempotent calls that ran twice or more. */
  readonly doubled: number
  /** Sendings said to have not run whose id a register lists. */
  readonly falseNotRun: number
  /** Sendings of a key said to have not run although an earlier sending of it had; true of the sending, and apt to mislead. */
  readonly staleNotRun: number
  readonly staleFailures: readonly string[]
  /** Times an engine fell over from more work than it bears. */
  readonly overloads: number
  /** Sendings with an id that stated an answer before any run of their call, or without one. */
  readonly unrecorded: number
  readonly findings: readonly string[]
}

/** Compares sendings with registers; `nonIdempotent` holds `service/operation`. */
export function judge (sendings: readonly Sending[], register: readonly RegisterLine[], nonIdempotent: ReadonlySet<string>): Verdict {
  const runsOfId = countBy(register.flatMap(line => line.event === 'started' || line.event === 'ran' ? [line.id] : []))
  const runsOfText = countBy(register.flatMap(textOf))
  const firstRuns = new Map(register.flatMap(line => line.event === 'ran' ? [[line.body, line.at] as const] : []).reverse())
  const count = (end: Sending['end']): number => sendings.filter(sending => sending.end === end).length
  const isRisky = ({ call }: Sending): boolean => nonIdempotent.has(`${call.service}/${call.operation}`)
  const runsOf = ({ call }: Sending): number => runsOfText.get(call.kind === 'model' ? call.text : digestBytes(call.text)) ?? 0
  const doubled = uniqueCalls(sendings.filter(sending => isRisky(sending) && runsOf(sending) > 1))
  const falseNotRun = sendings.filter(sending => sending.end === 'not-run' && sending.id !== '' && runsOfId.has(sending.id))
  const firstRunOf = ({ call }: Sending): number => firstRuns.get(digestBytes(call.text)) ?? Infinity
  const staleNotRun = sendings.filter(sending => sending.end === 'not-run' && sending.call.key !== '' && !runsOfId.has(sending.id) && firstRunOf(sending) < sending.sentAt)
  const unrecorded = sendings.filter(sending => sending.end === 'whole' && runsOf(sending) === 0)
  const wrong = sendings.filter(sending => sending.end === 'wrong')
  const overloads = register.filter(line => line.event === 'crashed' && line.overload)
  const findings = [
    ...doubled.map(sending => `ran twice: ${describe(sending)}`),
    ...falseNotRun.map(sending => `said not run and ran: ${describe(sending)}`),
    ...staleNotRun.map(sending => `said not run of a key that had run: ${describe(sending)}`),
    ...unrecorded.map(sending => `answered and never ran: ${describe(sending)}`),
    ...wrong.map(sending => `wrong answer: ${describe(sending)}`),
    ...overloads.map(line => `overload: ${line.upstream} at ${line.at}`)
  ]
  return {
    sent: sendings.length,
    whole: count('whole'),
    notRun: count('not-run'),
    unknown: count('unknown'),
    run: count('run'),
    cut: count('cut'),
    unreached: count('unreached'),
    wrong: wrong.length,
    doubled: doubled.length,
    falseNotRun: falseNotRun.length,
    staleNotRun: staleNotRun.length,
    staleFailures: staleNotRun.map(sending => sending.failure),
    overloads: overloads.length,
    unrecorded: unrecorded.length,
    findings
  }
}

/** Latest new work at some upstreams after a moment, in milliseconds after it; -1 for none. */
export function lastWorkAfter (register: readonly RegisterLine[], upstreams: ReadonlySet<string>, from: number, until: number): number {
  const times = register.flatMap(line => (line.event === 'started' || line.event === 'ran') && upstreams.has(line.upstream) && line.at > from && line.at < until ? [line.at - from] : [])
  return Math.max(-1, ...times)
}

/** Milliseconds that whole answers took, 99th percentile, of the sendings in a span of time. */
export function answerPercentile (sendings: readonly Sending[], from: number, until: number): number {
  const whole = sendings.filter(({ end, sentAt }) => end === 'whole' && sentAt >= from && sentAt < until)
  return percentile(whole.map(({ sentAt, endedAt }) => endedAt - sentAt), 0.99)
}

/** Failures that were stated, the most frequent first. */
export function countFailures (sendings: readonly Sending[]): ReadonlyArray<readonly [string, number]> {
  const counts = countBy(sendings.filter(sending => sending.end !== 'whole').map(sending => `${sending.end}: ${sending.failure}`))
  return [...counts].sort((left, right) => right[1] - left[1])
}

function textOf (line: RegisterLine): readonly string[] {
  if (line.event === 'started') return [line.prompt]
  return line.event === 'ran' ? [line.body] : []
}

function countBy (names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return counts
}

function uniqueCalls (sendings: readonly Sending[]): readonly Sending[] {
  return [...new Map(sendings.map(sending => [sending.call.text, sending])).values()]
}

function describe ({ call, entry, id, end, failure, sentAt, endedAt }: Sending): string {
  return `${call.service}/${call.operation} "${call.text}" id ${id} at ${entry} from ${sentAt} to ${endedAt}: ${end} ${failure}`
}
