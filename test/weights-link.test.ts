/** Rate limit of weights on a link, which leaves bandwidth for live requests. */
import { test } from 'tap'
import { LinkLimiter } from '../src/utils/link-limiter.js'

const bytesPerSecond = 1 << 20
const bytes = 256 << 10

const cases: readonly { readonly name: string, readonly rate: number, readonly liveLoad: number, readonly minimumMilliseconds: number }[] = [
  { name: 'delays nothing without a limit', rate: 0, liveLoad: 1, minimumMilliseconds: 0 },
  { name: 'enforces the rate of the link', rate: bytesPerSecond, liveLoad: 0, minimumMilliseconds: 245 },
  { name: 'reserves a quarter for live requests at full load', rate: bytesPerSecond, liveLoad: 1, minimumMilliseconds: 325 },
  { name: 'treats a load above the limit as full load', rate: bytesPerSecond, liveLoad: 7, minimumMilliseconds: 325 }
]

for (const { name, rate, liveLoad, minimumMilliseconds } of cases) {
  test(`the limiter ${name}`, async t => {
    const limiter = new LinkLimiter(rate, () => liveLoad)
    const startedAt = Date.now()
    for (let sent = 0; sent < bytes; sent += 16 << 10) await limiter.take(16 << 10)
    t.ok(Date.now() - startedAt >= minimumMilliseconds)
  })
}

test('waiting for the link ends when the fetch is aborted', async t => {
  const limiter = new LinkLimiter(1)
  const aborted = new AbortController()
  const taken = limiter.take(1 << 20, aborted.signal)
  aborted.abort()
  await taken
  t.pass('it does not wait for the bytes')
})
