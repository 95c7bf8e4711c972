/** A small model service: engines with their agents, entries, the store and the origin of weights. */
import { call, configurationOf, isReady } from './caller.mjs'
import { Deployment, delay, eventually, exitStatus } from './deployment.mjs'
import { Store } from './store.mjs'
import { chunkBytes, chunkCount, Engine, layerCount, model, Origin } from './weights.mjs'

const zones = { 'ahd-a': 'ahmedabad', 'vdr-a': 'vadodara', 'rjt-a': 'rajkot' }
const path = '/lepu270/2f'
const deadlineMilliseconds = 6000
const requestMilliseconds = 120

const engineConfiguration = { slots: 16, 'kv-capacity': 317000, 'kv-token-bytes': 262144, 'link-mbps': 400000, stride: 5, 'model-list': [{ name: model, pace: 1, 'load-s': 4, 'warm-s': 0.3 }], 'size-mb': 149000, 'adapter-slots': 8, 'loads-per-s': 0, step_ms: 9.27, per_seq_ms: 0.0232, context_per_k: 0.0322, read_per_s: 20700, pairs_per_m: 1.18, chunk: 2048, report_lag_ms: 200, loads_at_once: 8, delays: [], usual: { prompt: 979, answer: 92 }, layers: layerCount, layer_mb: 4090, act_bytes: 16384, pipe_mbps: 0, chunks: chunkCount, 'chunk-bytes': chunkBytes }

/** The service and its callers. */
export class ModelDeployment {
  results = []

  /** `spoil` may change manifests that the origin sends. */
  constructor (caseFolder, spoil) {
    this.deployment = new Deployment(caseFolder, zones)
    const { deployment } = this
    this.store = new Store(deployment.newIp())
    this.origin = new Origin(deployment, spoil)
    this.engines = Object.keys(zones).map((zone, index) => new Engine(deployment, this.store, `i-7f3a91c${index}`, zone))
    deployment.addEntries(Object.keys(zones), this.store)
    this.agents = this.engines.map(engine => deployment.addAgent(engine, this.store))
    deployment.closers.push(() => { for (const part of [this.store, this.origin, ...this.engines]) part.close() })
  }

  /** Starts everything on version 1; ends the case if it does not get ready. */
  async start () {
    await Promise.all([this.store.listen(), this.origin.listen()])
    this.store.put('keyed.op', 'config', configurationOf(7, [{ name: 'r-js2eek2', 'path-prefix': '/lepu270/', 'route-type': 'stream', 'timeout-ms': deadlineMilliseconds, 'latency-goal-ms': 502, service: 'huvo11a', sticky: true, resumable: true, 'gap-target-ms': 400 }], [
      { name: 'huvo11a', 'health-path': '/healthz', 'max-conns': 434, protocol: 'h1', tls: false, 'cold-start-s': 3, 'cold-per-s': 36, 'engine-config': engineConfiguration },
      { name: 'kafi81c', origin: this.origin.address, zone: 'vdr-a', 'link-mbps': 7.3, 'max-conns': 48 }
    ]))
    await Promise.all(this.engines.map(engine => engine.start(1)))
    this.deployment.startAll()
    if (!await this.waitUntilReady(12_000)) this.deployment.finish(exitStatus.notRun, 'the entries did not get ready')
    await delay(1500)
  }

  waitUntilReady (milliseconds) {
    return eventually(async () => (await Promise.all(this.deployment.entries.map(({ ip }) => isReady(ip)))).every(Boolean), milliseconds)
  }

  /** Names a version of the weights. */
  name (version) {
    this.origin.newestVersion = version
    this.store.put('keyed.op', `version/${model}`, { 'model-id': model, version })
    this.deployment.record('operator names a version', { version })
  }

  /** Has callers send requests for some time, milliseconds; resolves with their results once all have ended. */
  async sendFor (milliseconds, phase) {
    const until = performance.now() + milliseconds
    const results = []
    for (let count = 0; performance.now() < until; count += 1) {
      const entry = this.deployment.entries[count % this.deployment.entries.length]
      results.push(this.send(`${entry.ip}:8005`, phase))
      await delay(requestMilliseconds)
    }
    return await Promise.all(results)
  }

  async send (address, phase) {
    const headers = { 'x-model': model, 'x-token-counts': '40,70', 'x-prompt-prefix': '5c1e07a2:30,91bd3f06:10' }
    const result = await call(address, { method: 'POST', path, body: 'a prompt', deadline: deadlineMilliseconds, headers })
    const { id, status, isComplete, milliseconds, text, reason } = result
    this.deployment.record('caller has its answer', { phase, id, status, isComplete, milliseconds, reason, wrong: text.includes('wrong pieces') })
    return result
  }
}

/** Number of results with a complete success. */
export function countServed (results) {
  return results.filter(({ status, isComplete }) => status === 200 && isComplete).length
}
