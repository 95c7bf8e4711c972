/** Tests of the configuration fold: accepted and refused changes. */
import { test } from 'tap'
import { emptyFold, foldPage } from '../src/core/configuration/fold.js'
import { generateConfiguration } from '../src/core/configuration/generate.js'
import { answersSchema } from '../src/types/answers.js'
import type { Change, ChangeRecord } from '../src/types/configuration.js'
import { readFileSync } from 'node:fs'

const configuration = generateConfiguration(answersSchema.parse(JSON.parse(readFileSync('answers/khakhi-patrak.json', 'utf8'))))
const out: Change = { kind: 'data-centre', dataCentre: 'rajkot', state: 'out' }
const back: Change = { kind: 'data-centre', dataCentre: 'rajkot', state: 'in' }
const initial: Change = { kind: 'replace', configuration }

const cases: readonly { readonly name: string, readonly changes: ReadonlyArray<readonly [number, Change]>, readonly revision: number, readonly refused: readonly string[] }[] = [
  { name: 'accepts changes based on the latest revision of their scope', changes: [[-1, initial], [0, out], [1, back]], revision: 2, refused: [] },
  { name: 'refuses the second of two changes based on the same revision', changes: [[-1, initial], [0, out], [0, back]], revision: 1, refused: ['stale'] },
  { name: 'refuses a change before the first configuration', changes: [[-1, out]], revision: -1, refused: ['invalid'] },
  { name: 'refuses an unknown data centre', changes: [[-1, initial], [0, { ...out, dataCentre: 'nowhere' }]], revision: 0, refused: ['invalid'] }
]

for (const { name, changes, revision, refused } of cases) {
  test(`the fold ${name}`, async t => {
    const records = changes.map(([basedOn, change], offset) => {
      const record: ChangeRecord = { type: 'change', id: `change-${offset}`, basedOn, author: 'test', at: 0, change }
      return { offset, at: 0, body: JSON.stringify(record) }
    })
    const state = foldPage(emptyFold, { first: 0, next: records.length, records })
    t.equal(state.revision, revision)
    t.same(state.refused.map(({ reason }) => reason), refused)
    t.equal(state.next, records.length)
  })
}
