/** The links of one box: those it accepts, and those it dials and reconnects. */
import { createServer, connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import { listen } from '../runtime/index.js'
import { Link } from './link.js'
import type { LinkHost } from './link.js'

const minRetryMs = 50
/** Accepted connections that have not said who they are; the oldest is closed for a further one. */
const maxUnidentified = 1000

/** Timing of outgoing connections, ms. */
export interface DialTiming {
  /** Time-out of a connection attempt. */
  readonly connectMs: number
  /** Upper bound of the pause between attempts, which doubles with each failure. */
  readonly maxRetryMs: number
}

const defaultTiming: DialTiming = { connectMs: 3000, maxRetryMs: 2000 }

interface DialedPeer<Message> {
  readonly host: string
  readonly port: number
  link: Link<Message> | null
  retryMs: number
  timer: NodeJS.Timeout | null
  isWanted: boolean
}

export class LinkPool<Message> {
  #host: LinkHost<Message>
  #server: Server | null = null
  #sockets = new Set<Socket>()
  #dialed = new Map<string, DialedPeer<Message>>()
  #bytesIn = 0
  #bytesOut = 0
  #links = new Set<Link<Message>>()
  #unidentified = new Map<Link<Message>, Socket>()
  #isClosed = false
  #timing: DialTiming

  constructor (host: LinkHost<Message>, timing = defaultTiming) {
    this.#timing = timing
    this.#host = {
      id: host.id,
      secret: host.secret,
      heartbeat: host.heartbeat,
      clock: host.clock,
      memory: host.memory,
      receive: (link, message) => host.receive(link, message),
      noteOpen: link => {
        this.#unidentified.delete(link)
        this.#retryNow(link.peerHost)
        host.noteOpen(link)
      },
      noteFault: (fault, peer) => host.noteFault(fault, peer),
      noteClosed: link => {
        this.#forget(link)
        host.noteClosed(link)
      }
    }
  }

  /** Total bytes over all links, open and closed. */
  get traffic (): { readonly bytesIn: number, readonly bytesOut: number } {
    let { bytesIn, bytesOut } = { bytesIn: this.#bytesIn, bytesOut: this.#bytesOut }
    for (const link of this.#links) {
      bytesIn += link.bytesIn
      bytesOut += link.bytesOut
    }
    return { bytesIn, bytesOut }
  }

  /** Starts accepting links; resolves with the port. */
  listen (host: string, port: number): Promise<number> {
    const server = createServer(socket => this.#acceptStranger(socket))
    this.#server = server
    return listen(server, { host, port })
  }

  /** Opens a link and reconnects it whenever it closes, until `disconnect`. */
  dial (host: string, port: number): void {
    const key = `${host}:${port}`
    if (this.#dialed.has(key) || this.#isClosed) return
    const dialed: DialedPeer<Message> = { host, port, link: null, retryMs: minRetryMs, timer: null, isWanted: true }
    this.#dialed.set(key, dialed)
    this.#connect(dialed)
  }

  /** The open link to a dialed address, if any. */
  find (host: string, port: number): Link<Message> | undefined {
    const link = this.#dialed.get(`${host}:${port}`)?.link
    return link?.isOpen === true ? link : undefined
  }

  /** All open links to dialed addresses. */
  get dialed (): Link<Message>[] {
    return [...this.#dialed.values()].flatMap(({ link }) => link?.isOpen === true ? [link] : [])
  }

  /** Hosts to which a dialed link is open. */
  get connectedHosts (): string[] {
    return [...this.#dialed.values()].flatMap(({ host, link }) => link?.isOpen === true ? [host] : [])
  }

  /** Dialed hosts with an open link on which data was received since `since`, a time as of `performance.now()`. */
  listActive (since: number): { readonly host: string, readonly link: Link<Message> }[] {
    return [...this.#dialed.values()].flatMap(({ host, link }) => link?.isOpen === true && link.lastReceivedAt >= since ? [{ host, link }] : [])
  }

  disconnect (host: string, port: number): void {
    const key = `${host}:${port}`
    const dialed = this.#dialed.get(key)
    if (dialed === undefined) return
    this.#dialed.delete(key)
    dialed.isWanted = false
    if (dialed.timer !== null) clearTimeout(dialed.timer)
    dialed.link?.close()
  }

  close (): void {
    this.#isClosed = true
    this.#server?.close()
    for (const { host, port } of [...this.#dialed.values()]) this.disconnect(host, port)
    for (const socket of this.#sockets) socket.destroy()
  }

  #connect (dialed: DialedPeer<Message>): void {
    dialed.timer = null
    const socket = connect({ host: dialed.host, port: dialed.port })
    const timer = setTimeout(() => socket.destroy(), this.#timing.connectMs)
    socket.once('connect', () => {
      clearTimeout(timer)
      if (!dialed.isWanted) return void socket.destroy()
      dialed.retryMs = minRetryMs
      dialed.link = this.#accept(socket, 'caller')
    })
    socket.on('error', () => {})
    socket.once('close', () => {
      clearTimeout(timer)
      dialed.link = null
      if (!dialed.isWanted || this.#isClosed) return
      dialed.timer = setTimeout(() => this.#connect(dialed), dialed.retryMs)
      dialed.retryMs = Math.min(this.#timing.maxRetryMs, dialed.retryMs * 2)
    })
  }

  // A host that connects to this box is up, so a pending retry to it need not wait for its timer.
  #retryNow (host: string): void {
    for (const dialed of this.#dialed.values()) {
      if (dialed.host !== host || dialed.timer === null) continue
      clearTimeout(dialed.timer)
      this.#connect(dialed)
    }
  }

  #acceptStranger (socket: Socket): void {
    if (this.#unidentified.size >= maxUnidentified) {
      const [[link, oldest]] = this.#unidentified
      this.#unidentified.delete(link)
      oldest.destroy()
    }
    this.#unidentified.set(this.#accept(socket, 'listener'), socket)
  }

  #accept (socket: Socket, side: 'caller' | 'listener'): Link<Message> {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
    const link = new Link<Message>(socket, side, this.#host)
    this.#links.add(link)
    return link
  }

  #forget (link: Link<Message>): void {
    this.#unidentified.delete(link)
    this.#links.delete(link)
    this.#bytesIn += link.bytesIn
    this.#bytesOut += link.bytesOut
  }
}
