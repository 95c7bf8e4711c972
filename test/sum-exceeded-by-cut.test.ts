/** Sums over all entries (rate of a cold upstream, retry budget, connections of an upstream) while the fleet is whole and while it is cut apart. */
import { test } from 'tap'
import { ColdRateLimiter, type ColdBounds } from '../src/core/dispatch/cold-rate.js'
import { SharedRetryBudget } from '../src/core/dispatch/shared-retry-budget.js'
import { Membership, type Member } from '../src/core/fleet/members.js'
import { UpstreamConnections } from '../src/roles/gateway/upstream-connections.js'

/** Time of the check, milliseconds: entries of other parts count as dead, and are still remembered. */
const checkedAt = 20_000
const cutAt = 10_000
const heartbeatMilliseconds = 500

interface Fleet { readonly name: string, readonly entries: number, readonly parts: number }

const fleets: readonly Fleet[] = [8, 40, 120].flatMap(entries => [1, 2, 3].map(parts => ({ name: `${entries} entries, ${parts === 1 ? 'whole' : `cut into ${parts} parts`}`, entries, parts })))

/** The membership of each entry at `checkedAt`. */
function memberships ({ entries, parts }: Fleet): readonly Membership[] {
  const member = (index: number, beat: number): Member => ({ instance: `entry-${index}`, ip: `10.0.0.${index}`, callers: '', dataCentre: 'a', region: 'a', incarnation: 1, beat, isReady: true, logDelayMilliseconds: -1 })
  const all = Array.from({ length: entries }, (_, index) => new Membership(member(index, 0)))
  for (let now = 0; now <= checkedAt; now += heartbeatMilliseconds) {
    for (const [index, membership] of all.entries()) {
      for (let other = 0; other < entries; other += 1) {
        if (now < cutAt || other % parts === index % parts) membership.observe(member(other, 1 + now / heartbeatMilliseconds), now)
      }
    }
  }
  return all
}

const coldBounds: readonly ColdBounds[] = [{ perSecond: 36, factor: 1.5, slack: 5 }, { perSecond: 4, factor: 1.5, slack: 5 }]
const retryBounds = { share: 0.2, slack: 104, windowMilliseconds: 10_000 }
/** Connections that upstreams of the deployments accept from all callers. */
const maximumConnections = [48, 52, 110, 268, 434]

for (const fleet of fleets) {
  for (const bounds of coldBounds) {
    test(`sum exceeded by cut: cold rate of ${bounds.perSecond} a second, ${fleet.name}`, async t => {
      const entries = memberships(fleet).map(membership => ({ membership, limiter: new ColdRateLimiter(), known: membership.knownEntries(checkedAt) }))
      let sent = 0
      for (let now = checkedAt; now < checkedAt + 1000; now += 5) {
        for (const { membership, limiter, known } of entries) {
          if (!limiter.mayTake('i-1', membership.self.instance, known, bounds, now)) continue
          limiter.take('i-1', known, bounds, now)
          sent += 1
        }
      }
      const allowed = bounds.perSecond * bounds.factor + bounds.slack
      t.ok(sent <= allowed, `at most ${allowed} requests in a second: ${sent}`)
    })
  }

  test(`sum exceeded by cut: retry budget, ${fleet.name}`, async t => {
    const requestsPerEntry = 10
    let retries = 0
    for (const membership of memberships(fleet)) {
      const budget = new SharedRetryBudget(retryBounds)
      const known = membership.knownEntries(checkedAt).length
      for (let request = 0; request < requestsPerEntry; request += 1) budget.recordRequest('s', checkedAt)
      while (budget.take('s', known, checkedAt)) retries += 1
    }
    const allowed = retryBounds.share * requestsPerEntry * fleet.entries + retryBounds.slack
    t.ok(retries <= allowed, `at most ${allowed} retries: ${retries}`)
  })

  for (const maximum of maximumConnections.filter(one => one >= fleet.entries * 2)) {
    test(`sum exceeded by cut: ${maximum} connections, ${fleet.name}`, async t => {
      const sum = memberships(fleet).reduce((total, membership) => {
        const { persistent, singleUse } = new UpstreamConnections().agentsFor('i-1', maximum, membership.knownEntries(checkedAt).length)
        return total + persistent.maxSockets + singleUse.maxSockets
      }, 0)
      t.ok(sum <= maximum, `at most ${maximum} connections: ${sum}`)
    })
  }
}
