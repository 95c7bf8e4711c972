/** From which offsets a node can pass on every removal, after reads that left out superseded records. */
import { test } from 'tap'
import { RemovalCoverage } from '../src/nodes/removal-coverage.js'

interface Case {
  readonly name: string
  /** Reads of the newest records, from and to an offset. */
  readonly reads: readonly (readonly [number, number])[]
  readonly complete: readonly number[]
  readonly incomplete: readonly number[]
}

const cases: readonly Case[] = [
  { name: 'before any read', reads: [], complete: [0, 5], incomplete: [] },
  { name: 'the first read knows no removals before its end', reads: [[-1, 10]], complete: [10, 11], incomplete: [0, 9] },
  { name: 'a later read knows those of the keys known at its start', reads: [[-1, 10], [12, 20]], complete: [10, 12, 20], incomplete: [9, 13, 19] },
  { name: 'a read of one record leaves out none', reads: [[-1, 10], [10, 11]], complete: [10, 11], incomplete: [9] },
  { name: 'the records expired once more', reads: [[-1, 10], [-1, 30]], complete: [30], incomplete: [10, 29] },
  { name: 'many gaps: the oldest count as one', reads: Array.from({ length: 80 }, (_, index) => [index * 10, index * 10 + 5] as const), complete: [155, 160, 795], incomplete: [0, 150, 161, 794] }
]

for (const { name, reads, complete, incomplete } of cases) {
  test(`removals known: ${name}`, async t => {
    const coverage = new RemovalCoverage()
    for (const [from, next] of reads) coverage.recordNewest(from, next)
    t.same(complete.filter(offset => !coverage.isComplete(offset)), [])
    t.same(incomplete.filter(offset => coverage.isComplete(offset)), [])
  })
}
