import fc from 'fast-check'
import { test } from 'tap'
import { foldClaim, needsRelease, type Claim } from '../src/core/claims.js'
import { foldLease, mayOrder, noLease } from '../src/core/engine-orders.js'
import type { ClaimRecord, LeaseRecord } from '../src/types/configuration.js'

const seed = 20_260
const runs = 3000
const holders = ['one', 'two', 'three'] as const
const records = fc.array(fc.record({ type: fc.constantFrom('claim', 'release'), id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), instance: fc.constantFrom(...holders) }), { maxLength: 14 })

interface Small { readonly type: string, readonly id: string, readonly instance: string }

/** An id belongs to one incarnation; a record that says otherwise is somebody else's. */
function recordOf (small: Small): ClaimRecord {
  return { type: small.type === 'claim' ? 'claim' : 'release', id: small.id, key: 'key', content: 'body', instance: small.instance, incarnation: small.instance, address: '' }
}

/** Naive version: for each offset, searches the whole history before it for an unreleased claim that counts. */
function naiveHolder (history: readonly ClaimRecord[]): { readonly offset: number, readonly id: string } | undefined {
  const counting = (offset: number): boolean => history[offset]?.type === 'claim' && !history.some((_record, earlier) => earlier < offset && counting(earlier) && !releasedBetween(earlier, offset))
  const releasedBetween = (claim: number, end: number): boolean => history.some((record, offset) => offset > claim && offset < end && record.type === 'release' && record.id === history[claim]?.id && record.incarnation === history[claim]?.incarnation)
  const offset = history.findIndex((_record, place) => counting(place) && !releasedBetween(place, history.length))
  return offset === -1 ? undefined : { offset, id: history[offset]?.id ?? '' }
}

test('the fold of claims names the holder that the naive search names', async t => {
  fc.assert(fc.property(records, small => {
    const history = small.map(recordOf)
    const folded = history.reduce<Claim | undefined>((holder, record, offset) => foldClaim(holder, offset, record), undefined)
    const naive = naiveHolder(history)
    return folded?.offset === naive?.offset && folded?.id === naive?.id
  }), { seed, numRuns: runs })
  t.pass(`${runs} histories agree, seed ${seed}`)
})

const held: Claim = { offset: 3, id: 'a', instance: 'one', incarnation: 'now', address: '', content: 'body' }
const releases = [
  { name: 'no holder', holder: undefined, own: undefined, released: false },
  { name: 'another incarnation holds', holder: { ...held, incarnation: 'before' }, own: undefined, released: false },
  { name: 'an own claim that was forgotten', holder: held, own: undefined, released: true },
  { name: 'an own claim that was abandoned', holder: held, own: { id: 'a', phase: 'abandoned' }, released: true },
  { name: 'an own claim from before a newer one', holder: held, own: { id: 'b', phase: 'appending' }, released: true },
  { name: 'an own claim that is held', holder: held, own: { id: 'a', phase: 'held' }, released: false },
  { name: 'an own claim that was sent', holder: held, own: { id: 'a', phase: 'sent' }, released: false },
  { name: 'an own claim that was answered', holder: held, own: { id: 'a', phase: 'finished' }, released: false }
] as const

for (const { name, holder, own, released } of releases) {
  test(`release of a claim: ${name}`, async t => { t.equal(needsRelease(holder, 'now', own), released) })
}

const leases = [
  { name: 'unread', ids: [], may: false, fence: undefined },
  { name: 'read back', ids: ['old', 'own'], may: true, fence: 1 },
  { name: 'superseded', ids: ['own', 'later'], may: false, fence: 0 },
  { name: 'an own record that landed twice', ids: ['own', 'own'], may: true, fence: 0 },
  { name: 'an older record that landed again', ids: ['old', 'own', 'old'], may: true, fence: 1 },
  { name: 'superseded and landed again', ids: ['own', 'later', 'own'], may: false, fence: 0 }
] as const

for (const { name, ids, may, fence } of leases) {
  test(`lease ${name}`, async t => {
    const folded = ids.map((id): LeaseRecord => ({ type: 'lease', id, instance: 'one', incarnation: id })).reduce((view, record, offset) => foldLease(view, 'one', 'own', offset, record), noLease)
    t.equal(mayOrder(folded), may)
    t.equal(folded.fence, fence)
  })
}
