/** Tests of the claims fold, the release of claims, and leases. */
import fc from 'fast-check'
import { test } from 'tap'
import { foldClaim, needsRelease, type Claim } from '../src/core/claims.js'
import { foldLease, mayOrder, noLease } from '../src/core/engine-orders.js'
import type { ClaimRecord, LeaseRecord } from '../src/types/configuration.js'

const seed = 20_260
const runs = 3000
const holders = ['one', 'two', 'three'] as const
const records = fc.array(fc.record({ type: fc.constantFrom('claim', 'release'), id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), instance: fc.constantFrom(...holders) }), { maxLength: 14 })

/** Fields of a claim record that vary. */
interface Step { readonly type: string, readonly id: string, readonly instance: string }

/** Record of a step. Ids repeat across incarnations here: a release applies only to a claim of the same id and incarnation. */
function recordOf (step: Step): ClaimRecord {
  return { type: step.type === 'claim' ? 'claim' : 'release', id: step.id, key: 'key', content: 'body', instance: step.instance, incarnation: step.instance, address: '' }
}

/** Naive version: for each claim, searches the history before it for a valid claim that is not released. */
function naiveHolder (history: readonly ClaimRecord[]): { readonly offset: number, readonly id: string } | undefined {
  const isValid = (offset: number): boolean => history[offset]?.type === 'claim' && !history.some((_record, earlier) => earlier < offset && isValid(earlier) && !isReleasedBetween(earlier, offset))
  const isReleasedBetween = (claim: number, end: number): boolean => history.some((record, offset) => offset > claim && offset < end && record.type === 'release' && record.id === history[claim]?.id && record.incarnation === history[claim]?.incarnation)
  const offset = history.findIndex((_record, place) => isValid(place) && !isReleasedBetween(place, history.length))
  return offset === -1 ? undefined : { offset, id: history[offset]?.id ?? '' }
}

test('the fold of claims finds the same holder as a naive search', async t => {
  fc.assert(fc.property(records, steps => {
    const history = steps.map(recordOf)
    const folded = history.reduce<Claim | undefined>((holder, record, offset) => foldClaim(holder, offset, record), undefined)
    const naive = naiveHolder(history)
    return folded?.offset === naive?.offset && folded?.id === naive?.id
  }), { seed, numRuns: runs })
  t.pass(`${runs} histories agree, seed ${seed}`)
})

const held: Claim = { offset: 3, id: 'a', instance: 'one', incarnation: 'now', address: '', content: 'body' }
const releases = [
  { name: 'no holder', holder: undefined, claim: undefined, released: false },
  { name: 'claim of another incarnation', holder: { ...held, incarnation: 'before' }, claim: undefined, released: false },
  { name: 'claim of this incarnation that the agent no longer has', holder: held, claim: undefined, released: true },
  { name: 'local claim that was abandoned', holder: held, claim: { id: 'a', phase: 'abandoned' }, released: true },
  { name: 'older claim of this incarnation than the local claim', holder: held, claim: { id: 'b', phase: 'appending' }, released: true },
  { name: 'local claim that is held', holder: held, claim: { id: 'a', phase: 'held' }, released: false },
  { name: 'local claim that was sent', holder: held, claim: { id: 'a', phase: 'sent' }, released: false },
  { name: 'local claim that was answered', holder: held, claim: { id: 'a', phase: 'finished' }, released: false }
] as const

for (const { name, holder, claim, released } of releases) {
  test(`release of a claim: ${name}`, async t => { t.equal(needsRelease(holder, 'now', claim), released) })
}

const leases = [
  { name: 'record not read back', ids: [], isAllowed: false, fence: undefined },
  { name: 'record read back', ids: ['old', 'own'], isAllowed: true, fence: 1 },
  { name: 'record superseded', ids: ['own', 'later'], isAllowed: false, fence: 0 },
  { name: 'record appended twice', ids: ['own', 'own'], isAllowed: true, fence: 0 },
  { name: 'older record appended again', ids: ['old', 'own', 'old'], isAllowed: true, fence: 1 },
  { name: 'record superseded and appended again', ids: ['own', 'later', 'own'], isAllowed: false, fence: 0 },
  { name: 'record of an agent that had not read this one', ids: ['own', 'ended@0'], isAllowed: true, fence: 0 },
  { name: 'record of an agent that had read this one', ids: ['own', 'later@1'], isAllowed: false, fence: 0 },
  { name: 'record of an agent that had not read an outdated one', ids: ['own@0', 'ended@0', 'later@1'], isAllowed: false, fence: 0 },
  { name: 'own record that had not read another one', ids: ['later@0', 'own@0'], isAllowed: false, fence: undefined },
  { name: 'own record that had read another one', ids: ['old@0', 'own@1'], isAllowed: true, fence: 1 }
] as const

for (const { name, ids, isAllowed, fence } of leases) {
  test(`lease: ${name}`, async t => {
    const folded = ids.map((text): LeaseRecord => {
      const [id = '', after] = text.split('@')
      return { type: 'lease', id, instance: 'one', incarnation: id, ...after === undefined ? {} : { after: Number(after) } }
    }).reduce((lease, record, offset) => foldLease(lease, 'one', 'own', offset, record), noLease)
    t.equal(mayOrder(folded), isAllowed)
    t.equal(folded.fence, fence)
  })
}
