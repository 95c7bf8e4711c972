import { test } from 'tap'
import { LinkLimiter } from '../src/utils/link-limiter.js'

const bytesPerSecond = 1 << 20
const bytes = 256 << 10

const cases: readonly { readonly name: string, readonly rate: number, readonly liveLoad: number, readonly leastMilliseconds: number }[] = [
  { name: 'passes everything at once without a limit', rate: 0, liveLoad: 1, leastMilliseconds: 0 },
  { name: 'keeps the rate of the link', rate: bytesPerSecond, liveLoad: 0, leastMilliseconds: 245 },
  { name: 'leaves a quarter to live requests at full load', rate: bytesPerSecond, liveLoad: 1, leastMilliseconds: 325 },
  { name: 'takes a load above the limit as full', rate: bytesPerSecond, liveLoad: 7, leastMilliseconds: 325 }
]

for (const { name, rate, liveLoad, leastMilliseconds } of cases) {
  test(`the limiter ${name}`, async t => {
    const limiter = new LinkLimiter(rate, () => liveLoad)
    const started = Date.now()
    for (let sent = 0; sent < bytes; sent += 16 << 10) await limiter.take(16 << 10)
    t.ok(Date.now() - started >= leastMilliseconds)
  })
}

test('a wait for the link ends when the draw is given up', async t => {
  const limiter = new LinkLimiter(1)
  const gone = new AbortController()
  const waiting = limiter.take(1 << 20, gone.signal)
  gone.abort()
  await waiting
  t.pass('it did not wait for the bytes')
})
