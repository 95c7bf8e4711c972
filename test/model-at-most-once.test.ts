import { test } from 'tap'
import { claimsSpecification } from '../model/at-most-once.js'
import { explore } from '../model/explore.js'
import { leaseOwnerSpecification } from '../model/lease-owner.js'

const limit = 2_000_000
const cases = [
  { name: 'one agent, three attempts, two crashes', bounds: { agents: 1, attempts: 3, crashes: 2, repeats: 0 } },
  { name: 'two agents, two attempts, a crash', bounds: { agents: 2, attempts: 2, crashes: 1, repeats: 0 } },
  { name: 'two agents, three attempts, no crash', bounds: { agents: 2, attempts: 3, crashes: 0, repeats: 0 } },
  { name: 'one agent, two attempts, a crash, appends that take effect twice', bounds: { agents: 1, attempts: 2, crashes: 1, repeats: 2 } },
  { name: 'two agents, two attempts, an append that takes effect twice', bounds: { agents: 2, attempts: 2, crashes: 0, repeats: 1 } }
] as const

for (const { name, bounds } of cases) {
  test(`claims run a key at most once: ${name}`, async t => {
    const found = explore(claimsSpecification(bounds), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
  })
}

test('the naive in-memory lease owner runs a key twice', async t => {
  const found = explore(leaseOwnerSpecification, limit)
  t.equal(found.violation, 'the request ran twice')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
