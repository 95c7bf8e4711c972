import { test } from 'tap'
import { startTracing } from '../src/plugins/tracing.js'
import { writeLogs } from '../src/utils/log.js'
import { EngineStandIn } from '../stand-in/engine.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { SlotWorld } from './fakes/slot.js'

const traceId = '0af7651916cd43dd8448eb211c80319c'
const traceParent = `00-${traceId}-b7ad6b7169203331-01`
const secrets = { body: 'secret-body', key: 'secret-key', prompt: 'secret-prompt' } as const

test('logs, traces and metrics contain no bodies, tokens or keys, and each request has a span', async t => {
  const lines: string[] = []
  writeLogs('info', line => { lines.push(line) })
  const spans = startTracing('memory')
  const world = await SlotWorld.start()
  const [service, engine] = [new ServiceStandIn(), new EngineStandIn()]
  const ledger = await world.addLedger(service)
  const citations = await world.addEngine(engine)
  const extraHeaders = { traceparent: traceParent }
  await world.call(ledger, { id: 'first', key: secrets.key, body: JSON.stringify({ note: secrets.body }), extraHeaders })
  await world.call(ledger, { id: 'reused', key: secrets.key, body: JSON.stringify({ note: `${secrets.body} 2` }), extraHeaders })
  const answer = await world.prompt(citations, 'tokens', secrets.prompt, 3, { extraHeaders })
  const tokens = answer.text.trim().split('\n').flatMap(line => (JSON.parse(line) as { token?: string }).token ?? [])
  service.behaviour.loseAnswers = true
  await world.call(ledger, { id: 'lost', key: `${secrets.key}-2`, body: JSON.stringify({ note: secrets.body }), extraHeaders })
  world.log.faults.outage = true
  await world.call(ledger, { id: 'out', key: `${secrets.key}-3`, body: JSON.stringify({ note: secrets.body }), extraHeaders })
  world.log.faults.outage = false
  const metrics = await (await fetch(`http://${ledger.listen}/metrics`)).text()
  const finished = spans?.getFinishedSpans().filter(span => span.name === 'agent') ?? []
  const output = [...lines, metrics, ...finished.map(span => JSON.stringify([span.attributes, span.status, span.events]))].join('\n')
  await world.stop()
  t.equal(tokens.length, 3)
  for (const secret of [...Object.values(secrets), ...tokens]) t.notOk(output.includes(secret), `${secret} is in the output`)
  t.equal(finished.length, 5)
  t.ok(finished.every(span => span.spanContext().traceId === traceId))
  t.match(metrics, 'pollendyke_requests_total{result="passed"} 1')
  t.match(metrics, 'pollendyke_requests_total{result="key-reused"} 1')
  t.ok(lines.length > 0)
})
