/**
 * Differential test: services that are not ranked get the decisions of the code before the order of service, of which the
 * short versions here are copies. Guards against a change of the earlier deployments.
 */
import fc from 'fast-check'
import { test } from 'tap'
import { SlotLedger, type SlotAnswer } from '../src/core/dispatch/slot-ledger.js'
import { RequestQueue } from '../src/roles/gateway/request-queue.js'
import type { UpstreamView } from '../src/roles/gateway/upstream-view.js'

const seed = 20_262
const runs = 500

/** Agent's decisions before. */
class EarlierLedger {
  private counted = 0
  private countedAt = -Infinity
  private grants: readonly { readonly key: string, readonly at: number }[] = []

  recordCount (requests: number, now: number): void {
    this.counted = requests
    this.countedAt = now
    this.grants = this.grants.filter(({ at }) => at > now - 40)
  }

  answer (key: string, limit: number, now: number): SlotAnswer | undefined {
    if (now - this.countedAt > 500) return undefined
    const load = this.counted + this.grants.length
    if (load + 1 > limit) return { load, isGranted: false }
    this.grants = [...this.grants, { key, at: now }]
    return { load: load + 1, isGranted: true }
  }

  release (key: string): void {
    this.grants = this.grants.filter(grant => grant.key !== key)
  }
}

const agentStep = fc.record({ after: fc.nat(60), kind: fc.constantFrom('count', 'ask', 'ask', 'ask', 'release'), requests: fc.nat(14), limit: fc.constantFrom(0, 9, 12, 13, 15), key: fc.nat(20) })

test('not ranked: an agent answers as before', async t => {
  fc.assert(fc.property(fc.array(agentStep, { maxLength: 80 }), steps => {
    const [ledger, earlier] = [new SlotLedger(), new EarlierLedger()]
    let now = 1000
    for (const [index, { after, kind, requests, limit, key }] of steps.entries()) {
      now += after
      if (kind === 'count') for (const each of [ledger, earlier]) each.recordCount(requests, now)
      else if (kind === 'release') {
        ledger.release(String(key), now)
        earlier.release(String(key))
      } else if (JSON.stringify(ledger.answer(String(index), limit, now)) !== JSON.stringify(earlier.answer(String(index), limit, now))) return false
      if (ledger.settle(now).length > 0 || ledger.hasHeld) return false
    }
    return true
  }), { seed, numRuns: runs })
  t.pass(`${runs} runs agree, seed ${seed}`)
})

test('not ranked: an entry\'s queue counts and orders requests as before', async t => {
  await fc.assert(fc.asyncProperty(fc.array(fc.boolean(), { maxLength: 20 }), async lateness => {
    const queue = new RequestQueue()
    const looked: number[] = []
    const abort = new AbortController()
    const waits: Promise<UpstreamView | undefined>[] = []
    let isSame = true
    for (const [index, isLate] of lateness.entries()) {
      const queued = lateness.slice(0, index)
      isSame &&= queue.count(isLate) === queued.filter(other => other === isLate).length
      isSame &&= queue.hasRequestsAhead(isLate) === queued.some(other => isLate || !other)
      waits.push(queue.wait(isLate, Infinity, () => { looked.push(index); return undefined }, abort.signal))
    }
    looked.length = 0
    queue.poll()
    const expected = [...lateness.keys()].sort((left, right) => Number(lateness[left]) - Number(lateness[right]) || left - right)
    abort.abort()
    await Promise.all(waits)
    queue.poll()
    return isSame && JSON.stringify(looked) === JSON.stringify(expected)
  }), { seed, numRuns: 100 })
  t.pass(`seed ${seed}`)
})
