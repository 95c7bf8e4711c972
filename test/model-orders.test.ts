import { test } from 'tap'
import { explore } from '../model/explore.js'
import { ordersSpecification, type OrderBounds } from '../model/orders.js'

const limit = 2_000_000
const cases: ReadonlyArray<OrderBounds & { readonly name: string }> = [
  { name: 'an engine that checks the fencing token', fencing: 'checked', trust: 'states', orders: 2, restarts: 0 },
  { name: 'an engine that ignores the fencing token', fencing: 'ignored', trust: 'states', orders: 2, restarts: 0 },
  { name: 'an engine that restarts', fencing: 'ignored', trust: 'states', orders: 1, restarts: 1 }
]

for (const { name, ...bounds } of cases) {
  test(`no request is served by other weights: ${name}`, async t => {
    const found = explore(ordersSpecification(bounds), limit)
    t.comment(`${found.states} states; bounds ${JSON.stringify(bounds)}`)
    t.equal(found.violation, undefined, found.trace.join(', '))
  })
}

test('the naive agent that trusts the last answer and checks no line serves other weights', async t => {
  const found = explore(ordersSpecification({ fencing: 'ignored', trust: 'answers', orders: 2, restarts: 0 }), limit)
  t.equal(found.violation, 'a request was served by other weights')
  t.comment(`trace: ${found.trace.join(', ')}`)
})
