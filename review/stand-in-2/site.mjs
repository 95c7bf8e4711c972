/**
 * A small deployment on loopback addresses: the store, servers and clients as stand-ins, and entries as processes of this
 * project, started with the `run` line of the deploy file. All processes are ended by `close`.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

const here = dirname(fileURLToPath(import.meta.url))
const root = join(here, '..', '..')

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)))

/** Bounds of the sheet of Fleecebook. */
export const bounds = { 'seed-lag-s': 3, 'reuse-after-s': 2, 'stable-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'revert-slack-ms': 250, 'outer-ms': 5000, 'revoke-everywhere': false, 'revoke-ms': 5000, 'retry-ratio': 0.2, 'retry-window-s': 10, 'retry-slack': 106, 'cold-factor': 1.5, 'cold-slack': 5, 'evacuate-ms': 5000, 'recovery-s': 12, 'event-delay-ms': 120, 'retry-after-s': 0, version_ms: 8000, version_all_ms: 0, ttl_max_s: 5 }

/** Zones with their regions. */
export const zones = { 'ont-a': 'ontario', 'mich-a': 'michigan', 'wis-a': 'wisconsin' }

async function freePort (host) {
  return await new Promise((resolve, reject) => {
    const probe = createTcpServer()
    probe.on('error', reject)
    probe.listen(0, host, () => {
      const { port } = probe.address()
      probe.close(() => { resolve(port) })
    })
  })
}

export class Site {
  store = new Store()
  entries = []
  servers = new Map()
  startedAt = Date.now()
  agent = new Agent({ keepAlive: true, maxSockets: 200 })

  constructor (recordPath) {
    this.record = createWriteStream(recordPath)
    this.folder = mkdtempSync(join(tmpdir(), 'pollendyke-review-'))
    const line = /^\[roles\.entry\]\s*\nrun = "([^"]+)"/m.exec(readFileSync(join(root, 'deploy', 'system.toml'), 'utf8'))
    if (line === null) throw new Error('the deploy file has no run line of the role entry')
    this.run = line[1].split(' ')
    this.onExit = () => { this.killAll() }
    process.on('exit', this.onExit)
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { process.exit(2) })
  }

  /** Seconds since the start. */
  get now () {
    return (Date.now() - this.startedAt) / 1000
  }

  write (text) {
    this.record.write(`${this.now.toFixed(3)} ${text}\n`)
  }

  /** Starts the store and an entry in each zone of the list. */
  async start (entryZones, configuration) {
    this.storeAddress = `127.0.0.1:${await freePort('127.0.0.1')}`
    await this.store.listen(this.storeAddress)
    this.store.put('keyed.op', 'config', configuration)
    this.internalPort = await freePort('127.0.1.1')
    const ips = entryZones.map((_, index) => `127.0.1.${index + 1}`)
    for (const [index, zone] of entryZones.entries()) {
      const ip = ips[index]
      const [front, ready, control, directory] = [await freePort(ip), await freePort(ip), await freePort(ip), await freePort(ip)]
      this.entries.push({ name: `edge-${zone}-${index + 1}`, zone, ip, front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` })
    }
    for (const entry of this.entries) this.startEntry(entry)
    for (const entry of this.entries) await this.untilReady(entry)
  }

  startEntry (entry) {
    const { name, zone, ip, front, ready, control, directory } = entry
    const settings = {
      'node-name': name,
      role: 'entry',
      'machine-class': 'edge',
      serves: ['edge', 'control', 'registry'],
      ip,
      zone,
      region: zones[zone],
      zones,
      listen: { front, ready, control, directory },
      'internal-ports': [this.internalPort, this.internalPort + 15],
      seeds: this.entries.slice(0, 3).map(other => other.control),
      bootstrap: true,
      'fault-counted': false,
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': 0 },
      'data-dir': null,
      discovery: 'platform',
      entry: 'registry',
      'heartbeat-ms': 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'places', 'platform', 'chunks'],
      'fault-tolerance': { machines: 2, zones: 1, regions: 0 },
      bounds,
      platform: { address: this.storeAddress, form: 'log', 'writes-per-s': 400, 'reads-per-s': 2000, parts: 12, 'append-ms': 2, 'part-mb-per-s': 20, 'read-mb-per-s': 80, 'record-bytes': 262144, 'call-bytes': 2097152, keep_s: 300, 'part-mb': 200, 'ttl-min-ms': 1000 }
    }
    const path = join(this.folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    const { PATH, HOME, LANG } = process.env
    const child = spawn(this.run[0], this.run.slice(1), { cwd: root, env: { PATH, HOME, LANG, POLLENDYKE_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    entry.child = child
    entry.log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(entry.log, { end: false })
    child.stderr.pipe(entry.log, { end: false })
    child.on('exit', (code, signal) => {
      entry.exit = { code, signal, at: this.now }
      this.write(`entry ${name} ended: ${code ?? signal}`)
    })
    this.write(`entry ${name} started: ${this.run.join(' ')}`)
  }

  async untilReady (entry) {
    for (let tries = 0; tries < 200; tries += 1) {
      const answer = await this.call(`http://${entry.ready}/readyz`).catch(() => undefined)
      if (answer?.status === 200) return
      await sleep(50)
    }
    throw new Error(`${entry.name} is not ready`)
  }

  call (url) {
    return new Promise((resolve, reject) => {
      const outgoing = httpRequest(url, { agent: false, timeout: 1000 }, answer => {
        const parts = []
        answer.on('data', part => { parts.push(part) })
        answer.on('end', () => { resolve({ status: answer.statusCode, body: Buffer.concat(parts).toString() }) })
      })
      outgoing.on('error', reject)
      outgoing.on('timeout', () => { outgoing.destroy() })
      outgoing.end()
    })
  }

  /** Starts a server process, which renews its entry every heartbeat as long as it answers. */
  async startServer (id, { service, zone, ip, port, workMilliseconds = 60, slots = 6, extraShare = 0, extraFrom = 0 }) {
    const address = `${ip}:${port ?? await freePort(ip)}`
    const child = spawn(process.execPath, [join(here, 'server.mjs'), JSON.stringify({ id, address, workMilliseconds, slots, extraShare, extraFrom })], { stdio: ['ignore', 'pipe', 'inherit'] })
    const server = { id, service, zone, address, child, born: Date.now(), sequence: 0, state: 'ready', isSilent: false, slots, runs: [] }
    this.servers.set(id, server)
    let text = ''
    await new Promise((resolve, reject) => {
      child.on('exit', () => { reject(new Error(`server ${id} ended`)) })
      child.stdout.on('data', part => {
        text += part
        for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n')) {
          const event = JSON.parse(text.slice(0, end))
          text = text.slice(end + 1)
          if (event.event === 'listens') resolve()
          else if (event.event === 'extra') this.write(`server ${id} sends a second answer after the one to ${event.attempt}`)
          else {
            server.runs.push(event)
            this.onRun?.(server, event)
          }
        }
      })
    })
    const beat = () => {
      if (server.isSilent) return
      server.sequence += 1
      this.store.beat(id, this.entryOf(server))
    }
    beat()
    server.timer = setInterval(beat, 1200)
    this.write(`server ${id} of ${service} in ${zone} started at ${address}`)
    return server
  }

  entryOf ({ service, zone, address, slots, state, sequence, born }) {
    return { service, address, zone, version: 1, slots, state, 'cold-left-ms': 0, sequence, born }
  }

  /** A server goes dark: its process stands still and its heartbeats stop. */
  darken (server) {
    server.isSilent = true
    server.child.kill('SIGSTOP')
    this.write(`server ${server.id} goes dark`)
  }

  /** Ends a server's process. */
  killServer (server) {
    server.isSilent = true
    clearInterval(server.timer)
    server.child.removeAllListeners('exit')
    server.child.kill('SIGKILL')
    this.write(`server ${server.id} crashed`)
  }

  /** Sends one attempt to an entry and resolves with what came of it. */
  attempt (entry, { host, method, path, key, deadline, id, body, agent = this.agent }) {
    const [ip, port] = entry.front.split(':')
    const sentAt = this.now
    return new Promise(resolve => {
      let isOver = false
      const finish = result => {
        if (isOver) return
        isOver = true
        clearTimeout(timer)
        resolve({ ...result, milliseconds: Math.round((this.now - sentAt) * 1000) })
      }
      const outgoing = httpRequest({ host: ip, port: Number(port), method, path, agent, headers: { host, 'x-attempt-id': id, 'x-deadline-ms': String(deadline), authorization: `Token ${key}`, ...body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) } } }, answer => {
        const parts = []
        answer.on('data', part => { parts.push(part) })
        answer.on('end', () => { finish({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(parts).toString() }) })
        answer.on('error', () => { finish({ status: 'broken off' }) })
      })
      const timer = setTimeout(() => {
        finish({ status: 'deadline' })
        outgoing.destroy()
      }, deadline)
      outgoing.on('error', error => { finish({ status: 'closed', reason: String(error) }) })
      outgoing.end(body)
    })
  }

  killAll () {
    for (const { child } of this.entries) if (child?.exitCode === null) child.kill('SIGKILL')
    for (const { child, timer } of this.servers.values()) {
      clearInterval(timer)
      if (child.exitCode === null) child.kill('SIGKILL')
    }
  }

  /** Ends all processes and removes the temporary folder. */
  async close () {
    this.killAll()
    this.agent.destroy()
    this.store.close()
    await sleep(200)
    process.off('exit', this.onExit)
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
    else process.stdout.write(`logs: ${this.folder}\n`)
    await new Promise(resolve => { this.record.end(resolve) })
  }
}
