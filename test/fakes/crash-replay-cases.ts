/** Replays of requests that crash upstreams before many entries: their cases, and the check of one. */
import { test } from 'tap'
import { replayCrashes, type CrashReplay } from './crash-replay.js'

/** The stated rule, requests with a bad part that may reach upstreams within `stable` of the fifth end at a rate a second; each ends one, unless it runs on for a while. */
const ruleEnds = (perSecond: number): number => 5 + 3 * perSecond
/** The goal of the project at 4 requests a second: ends by a part, on average; the most in one replay is that of the rule. */
const goalEnds = 8

const replay: CrashReplay = { seed: 1, entries: 8, upstreams: 24, healthyPerSecond: 60, badParts: ['bad'], badPerSecond: 4, otherEndsPerSecond: 0.2, inventedParts: 0, firstEvent: [70, 150], until: 15_000 }
const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
const maximumRefusedShare = 0.001
/** Times between the first event and the end of an upstream, milliseconds. */
const firstEventToEnd = [0, 100, 250, 800] as const

/** One replay, over all seeds. */
export interface ReplayCase {
  readonly name: string
  readonly settings?: Partial<CrashReplay>
  /** Bounds of the ends by one part: their mean over all seeds, and the most in one. */
  readonly mean?: number
  readonly most?: number
}

/** Replays of parts of prompts before a few entries. */
export const partCases: readonly ReplayCase[] = [
  ...[8, 40].flatMap(rateCases),
  { name: 'three parts', settings: { badParts: ['x', 'y', 'z'], badPerSecond: 12 } },
  { name: 'a request each 20 s', settings: { badPerSecond: 0.05, until: 400_000, healthyPerSecond: 5 } },
  { name: 'a third of the upstreams ends at once', settings: { massEndAt: 10_000 } },
  { name: 'slow first events', settings: { firstEvent: [300, 2000], massEndAt: 10_000 }, mean: ruleEnds(4) },
  { name: 'an entry that loses all of its calls', settings: { brokenLink: { from: 5000, to: 9000 }, healthyPerSecond: 120 } },
  { name: 'many ends without cause', settings: { otherEndsPerSecond: 2 } },
  { name: 'invented parts', settings: { inventedParts: 200 } },
  { name: 'a part that is healthy at first', settings: { badFrom: 10_000 }, mean: ruleEnds(4) },
  ...firstEventToEnd.map((eventToEnd): ReplayCase => ({ name: `ends ${eventToEnd} ms after the first event`, settings: { eventToEnd }, mean: ruleEnds(4), most: mostEnds(eventToEnd) }))
]

/** Replays of parts of prompts before 120 entries. */
export const manyEntriesCases: readonly ReplayCase[] = [
  ...rateCases(120),
  { name: 'a third of the upstreams ends at once, no bad part, many entries', settings: { massEndAt: 10_000, badPerSecond: 0, entries: 120, healthyPerSecond: 200 }, mean: 0, most: 0 }
]

/** Replays of one request that comes again and again. */
export const requestCases: readonly ReplayCase[] = [
  {
    name: 'one request among many others, many ends without cause, many invented parts',
    settings: { eventToEnd: 100, isOneRequest: true, healthyPerSecond: 400, otherEndsPerSecond: 3, inventedParts: 200 }
  },
  ...firstEventToEnd.flatMap(eventToEnd => [8, 40, 120].map((entries): ReplayCase => ({
    name: `one request, ends ${eventToEnd} ms after its first event, ${entries} entries`,
    settings: { eventToEnd, entries, isOneRequest: true, until: 20_000 },
    mean: eventToEnd > 250 ? ruleEnds(4) : goalEnds,
    most: mostEnds(eventToEnd)
  })))
]

/** Cases of parts at two rates before `entries` entries. */
function rateCases (entries: number): readonly ReplayCase[] {
  return [
    { name: `4 requests a second before ${entries} entries`, settings: { entries } },
    { name: `15 requests a second before ${entries} entries`, settings: { entries, badPerSecond: 15 }, mean: ruleEnds(15), most: ruleEnds(15) }
  ]
}

/** Most ends in one replay where upstreams end `eventToEnd` milliseconds after the first event. */
function mostEnds (eventToEnd: number): number {
  return ruleEnds(4) + 4 * eventToEnd / 1000
}

/** Replays each case with all seeds in a test of its own. */
export function checkReplays (cases: readonly ReplayCase[]): void {
  for (const { name, settings, mean = goalEnds, most = ruleEnds(4) } of cases) {
    test(`crash suspects: ${name}`, async t => {
      const outcomes = seeds.map(seed => replayCrashes({ ...replay, ...settings, seed }))
      const ends = outcomes.flatMap(outcome => outcome.ends)
      const meanEnds = ends.reduce((sum, count) => sum + count, 0) / ends.length
      const [healthy, refused, notResent] = [outcomes.reduce((sum, outcome) => sum + outcome.healthy, 0), outcomes.reduce((sum, outcome) => sum + outcome.refused, 0), outcomes.reduce((sum, outcome) => sum + outcome.notResent, 0)]
      t.ok(meanEnds <= mean, `ends by a part: ${meanEnds.toFixed(1)} on average, at most ${mean}`)
      t.ok(Math.max(...ends) <= most, `ends by a part: ${Math.max(...ends)} in one replay, at most ${most}`)
      t.equal(Math.max(...outcomes.map(({ late }) => late)), 0, 'no request with the part reaches an upstream later than 3 s after the fifth end')
      t.ok(refused < healthy * maximumRefusedShare, `healthy requests refused: ${refused} of ${healthy}; not sent again: ${notResent}`)
    })
  }
}
