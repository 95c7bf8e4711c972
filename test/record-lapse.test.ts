/** How long an upstream is used after its record was removed, by what is known of the log's availability. */
import { test } from 'tap'
import { lapseGraceMilliseconds, recordConfirmation, retainUntil, unknownAvailability } from '../src/core/fleet/record-lapse.js'

const heartbeatMilliseconds = 1200

interface Case {
  readonly name: string
  /** Times of the confirmations in the order in which they became known. */
  readonly confirmedAt: readonly number[]
  readonly removedAt: number
  /** Until when the upstream is used; undefined if it is not used any more. */
  readonly expected: number | undefined
}

const cases: readonly Case[] = [
  { name: 'while the log answers', confirmedAt: [1000, 1500, 2000], removedAt: 2000, expected: undefined },
  { name: 'before the log was ever read', confirmedAt: [], removedAt: 9000, expected: undefined },
  { name: 'found by the first read', confirmedAt: [9000], removedAt: 9000, expected: undefined },
  { name: 'after a failure too short for a record to lapse', confirmedAt: [1000, 3300], removedAt: 3300, expected: undefined },
  { name: 'after an outage', confirmedAt: [1000, 6000], removedAt: 6000, expected: 6000 + lapseGraceMilliseconds },
  { name: 'in the grace period after an outage, which ends with it', confirmedAt: [1000, 6000, 6500, 7000], removedAt: 7000, expected: 6000 + lapseGraceMilliseconds },
  { name: 'after the grace period', confirmedAt: [1000, 6000, 8100], removedAt: 8100, expected: undefined },
  { name: 'after an outage of which this entry learns late', confirmedAt: [1000, 6000], removedAt: 7500, expected: 6000 + lapseGraceMilliseconds },
  { name: 'while another node still reads the log, though this one does not', confirmedAt: [1000, 2900, 4800], removedAt: 5000, expected: undefined },
  { name: 'received without a confirmation while the log seems unavailable', confirmedAt: [1000], removedAt: 6000, expected: 6000 + lapseGraceMilliseconds },
  { name: 'after an older confirmation that arrives late', confirmedAt: [5000, 1000, 5500], removedAt: 5500, expected: undefined },
  { name: 'after the second of two outages', confirmedAt: [1000, 6000, 12_000], removedAt: 12_000, expected: 12_000 + lapseGraceMilliseconds }
]

for (const { name, confirmedAt, removedAt, expected } of cases) {
  test(`record removed: ${name}`, async t => {
    const availability = confirmedAt.reduce((known, at) => recordConfirmation(known, at, heartbeatMilliseconds), unknownAvailability)
    const until = retainUntil(availability, removedAt, heartbeatMilliseconds)
    t.equal(until > removedAt ? until : undefined, expected)
  })
}
